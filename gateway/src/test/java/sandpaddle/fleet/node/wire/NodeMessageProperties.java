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

/** What gateways send each other of quotas and of what was agreed on. */
class NodeMessageProperties {
    private interface Reading {
        Object of(byte[] bytes) throws FaultyMessageException;
    }

    static FleetConfig agreed(SplittableRandom r) {
        List<Member> members = new ArrayList<>();
        List<LimitSpec> limits = new ArrayList<>();
        for (int i = r.nextInt(5); i > 0; i--) {
            members.add(new Member("g" + i, "h" + r.nextInt(3), "10.0.0." + i, 1 + r.nextInt(65_535)));
            limits.add(new LimitSpec(
                    "l\u00e4" + i,
                    new LimitScope(r.nextBoolean() ? null : "h", null, "*", "e"),
                    LimitUnit.RATE,
                    r.nextInt(99),
                    r.nextInt(9)));
        }
        return new FleetConfig(1 + r.nextLong(1L << 60), members, limits, "pool \u6771".repeat(r.nextInt(9)), "");
    }

    static HeartbeatMessage beat(SplittableRandom r) {
        return new HeartbeatMessage(
                r.nextInt(99),
                r.nextLong(1L << 60),
                new Heartbeat(
                        r.nextLong(),
                        2,
                        3,
                        r.nextBoolean(),
                        0,
                        5,
                        List.of(new SlotReport("l", "s", 1, 2, 3, 4, r.nextInt(9))),
                        List.of(new InstanceRequest("l", new LimitScope(null, "", "t", null)))));
    }

    static QuotaGrant grant(SplittableRandom r) {
        return new QuotaGrant(
                "g",
                r.nextLong(),
                1,
                r.nextInt(9),
                3,
                r.nextBoolean(),
                agreed(r).limits(),
                List.of(new SlotGrant("l", "", 1, 8, 2, r.nextInt(8), 2)));
    }

    @Property(seed = "9", tries = 100)
    void whatIsWrittenIsRead(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) throws FaultyMessageException {
        SplittableRandom r = new SplittableRandom(seed);
        FleetConfig agreed = agreed(r);
        assertEquals(agreed, FleetConfig.parse(agreed.encode()));
        StatusMessage status = new StatusMessage(
                r.nextInt(99), r.nextBoolean() ? "" : "a", List.of("a", "b"), agreed.version(), agreed.encode());
        assertEquals(status, StatusMessage.decode(status.encode()));
        assertEquals(agreed, status.config());
        HeartbeatMessage beat = beat(r);
        assertEquals(beat, HeartbeatMessage.decode(beat.encode()));
        QuotaGrant grant = grant(r);
        assertEquals(grant, HeartbeatMessage.decodeGrant(HeartbeatMessage.encode(grant)));
    }

    /** Guards every thread that reads a peer's bytes: they are read, or are a fault, and nothing else is thrown. */
    @Property(seed = "10", tries = 400)
    void whatIsSpoiltIsAFaultOrAnotherMessage(@ForAll @LongRange(min = 0, max = 1 << 30) long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        spoil(beat(r).encode(), r, HeartbeatMessage::decode);
        spoil(HeartbeatMessage.encode(grant(r)), r, HeartbeatMessage::decodeGrant);
        spoil(new StatusMessage(1, "a", List.of("a"), 7, agreed(r).encode()).encode(), r, StatusMessage::decode);
        spoil(
                Base64.getDecoder().decode(agreed(r).encode()),
                r,
                b -> FleetConfig.parse(Base64.getEncoder().encodeToString(b)));
    }

    private static void spoil(byte[] whole, SplittableRandom r, Reading reading) {
        byte[] flipped = whole.clone();
        flipped[r.nextInt(flipped.length)] ^= (byte) (1 + r.nextInt(255));
        for (byte[] spoilt : List.of(
                flipped, Arrays.copyOf(whole, r.nextInt(whole.length)), Arrays.copyOf(whole, whole.length + 1))) {
            try {
                reading.of(spoilt);
                assertFalse(spoilt.length != whole.length, "cut or longer, and read nevertheless");
            } catch (FaultyMessageException e) {
                assertFalse(e.getMessage().isEmpty());
            }
        }
    }

    @Example
    void whatIsOutOfBoundsIsAFault() {
        assertThrows(FaultyMessageException.class, () -> FleetConfig.parse("no base64!"));
        assertThrows(FaultyMessageException.class, () -> FleetConfig.parse(""));
        Member blank = new Member("a b", "h", "10.0.0.1", 1);
        assertThrows(
                FaultyMessageException.class,
                () -> FleetConfig.parse(new FleetConfig(1, List.of(blank), List.of(), "", "").encode()));
        String tooLong = new String(new byte[FleetConfig.MAX_TEXT_BYTES + 1], StandardCharsets.US_ASCII);
        assertThrows(
                FaultyMessageException.class,
                () -> FleetConfig.parse(new FleetConfig(1, List.of(), List.of(), tooLong, "").encode()));
        StatusMessage crowded = new StatusMessage(1, "", java.util.Collections.nCopies(17, "a"), 1, "");
        assertThrows(FaultyMessageException.class, () -> StatusMessage.decode(crowded.encode()));
    }
}
