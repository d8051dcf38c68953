package sandpaddle.fleet.node.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.InstanceRequest;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.limit.wire.SlotGrant;
import sandpaddle.fleet.limit.wire.SlotReport;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/** Encoding and decoding of heartbeats, grants, status messages and the fleet configuration. */
class NodeMessageProperties {
    private interface Decoder {
        Object decode(byte[] bytes) throws FaultyMessageException;
    }

    static FleetConfig config(SplittableRandom random) {
        List<Member> members = new ArrayList<>();
        List<LimitSpec> limits = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            members.add(new Member("g" + i, "h" + random.nextInt(3), "10.0.0." + i, 1 + random.nextInt(65_535)));
            limits.add(new LimitSpec(
                    "l\u00e4" + i,
                    new LimitScope(random.nextBoolean() ? null : "h", null, "*", "e"),
                    LimitUnit.RATE,
                    random.nextInt(99),
                    random.nextInt(9)));
        }
        return new FleetConfig(
                1 + random.nextLong(1L << 60), members, limits, "pool \u6771".repeat(random.nextInt(9)), "");
    }

    static HeartbeatMessage heartbeat(SplittableRandom random) {
        return new HeartbeatMessage(
                random.nextInt(99),
                random.nextLong(1L << 60),
                new Heartbeat(
                        random.nextLong(),
                        2,
                        3,
                        random.nextBoolean(),
                        0,
                        5,
                        List.of(new SlotReport("l", "s", 1, 2, 3, 4, random.nextInt(9))),
                        List.of(new InstanceRequest("l", new LimitScope(null, "", "t", null)))));
    }

    static QuotaGrant grant(SplittableRandom random) {
        return new QuotaGrant(
                "g",
                random.nextLong(),
                1,
                random.nextInt(9),
                3,
                random.nextBoolean(),
                config(random).limits(),
                List.of(new SlotGrant("l", "", 1, 8, 2, random.nextInt(8), 2)));
    }

    @Property(seed = "9", tries = 100)
    void decodingReturnsEncodedMessage(@ForAll @LongRange(min = 0, max = 1 << 30) long seed)
            throws FaultyMessageException {
        SplittableRandom random = new SplittableRandom(seed);
        FleetConfig config = config(random);
        assertEquals(config, FleetConfig.parse(config.encode()));
        StatusMessage status = new StatusMessage(
                random.nextInt(99),
                random.nextBoolean() ? "" : "a",
                List.of("a", "b"),
                config.version(),
                config.encode());
        assertEquals(status, StatusMessage.decode(status.encode()));
        assertEquals(config, status.config());
        HeartbeatMessage heartbeat = heartbeat(random);
        assertEquals(heartbeat, HeartbeatMessage.decode(heartbeat.encode()));
        QuotaGrant grant = grant(random);
        assertEquals(grant, HeartbeatMessage.decodeGrant(HeartbeatMessage.encode(grant)));
    }

    /**
     * Guards the threads that decode the messages of peers: corrupted bytes either are rejected with {@link
     * FaultyMessageException} or are another valid message; no other exception is thrown.
     */
    @Property(seed = "10", tries = 400)
    void corruptedBytesAreRejectedOrAnotherMessage(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        assertRejectsCorruptedBytes(heartbeat(random).encode(), random, HeartbeatMessage::decode);
        assertRejectsCorruptedBytes(HeartbeatMessage.encode(grant(random)), random, HeartbeatMessage::decodeGrant);
        assertRejectsCorruptedBytes(
                new StatusMessage(1, "a", List.of("a"), 7, config(random).encode()).encode(),
                random,
                StatusMessage::decode);
        assertRejectsCorruptedBytes(
                Base64.getDecoder().decode(config(random).encode()),
                random,
                bytes -> FleetConfig.parse(Base64.getEncoder().encodeToString(bytes)));
    }

    private static void assertRejectsCorruptedBytes(byte[] valid, SplittableRandom random, Decoder decoder) {
        byte[] flipped = valid.clone();
        flipped[random.nextInt(flipped.length)] ^= (byte) (1 + random.nextInt(255));
        for (byte[] corrupted : List.of(
                flipped, Arrays.copyOf(valid, random.nextInt(valid.length)), Arrays.copyOf(valid, valid.length + 1))) {
            try {
                decoder.decode(corrupted);
                assertFalse(corrupted.length != valid.length, "bytes of another length were accepted");
            } catch (FaultyMessageException e) {
                assertFalse(e.getMessage().isEmpty());
            }
        }
    }

    @Example
    void rejectsValuesOutOfBounds() {
        assertThrows(FaultyMessageException.class, () -> FleetConfig.parse("no base64!"));
        assertThrows(FaultyMessageException.class, () -> FleetConfig.parse(""));
        Member invalidName = new Member("a b", "h", "10.0.0.1", 1);
        assertThrows(
                FaultyMessageException.class,
                () -> FleetConfig.parse(new FleetConfig(1, List.of(invalidName), List.of(), "", "").encode()));
        String tooLong = new String(new byte[FleetConfig.MAX_TEXT_BYTES + 1], StandardCharsets.US_ASCII);
        assertThrows(
                FaultyMessageException.class,
                () -> FleetConfig.parse(new FleetConfig(1, List.of(), List.of(), tooLong, "").encode()));
        StatusMessage tooManyVoters = new StatusMessage(1, "", java.util.Collections.nCopies(17, "a"), 1, "");
        assertThrows(FaultyMessageException.class, () -> StatusMessage.decode(tooManyVoters.encode()));
    }
}
