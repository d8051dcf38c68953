package sandpaddle.fleet.limit.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.lease.FloorFile;
import sandpaddle.fleet.limit.lease.SavedFloor;
import sandpaddle.fleet.limit.table.LimitCommand;
import sandpaddle.fleet.limit.table.LimitCommandCodec;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

class LimitCodecProperties {
    static Heartbeat heartbeat(Random random) {
        List<SlotReport> reports = new ArrayList<>();
        for (int i = random.nextInt(20); i > 0; i--) {
            reports.add(new SlotReport(
                    "l" + i,
                    i % 2 == 0 ? "" : "tenant ä",
                    random.nextLong(1L << 60),
                    random.nextInt(9),
                    random.nextInt(9),
                    random.nextInt(9),
                    random.nextInt(9)));
        }
        return new Heartbeat(
                random.nextLong(),
                random.nextInt(99),
                random.nextInt(9),
                random.nextBoolean(),
                random.nextInt(99),
                random.nextInt(9),
                reports,
                List.of(new InstanceRequest("l", new LimitScope(null, "", "t", null))));
    }

    static QuotaGrant grant(Random random) {
        List<SlotGrant> slotGrants = new ArrayList<>();
        for (int i = random.nextInt(20); i > 0; i--) {
            slotGrants.add(new SlotGrant(
                    "l" + i,
                    "",
                    random.nextInt(99),
                    random.nextInt(99),
                    random.nextInt(9),
                    random.nextInt(9),
                    random.nextInt(9)));
        }
        LimitSpec spec = new LimitSpec(
                "l", new LimitScope("*", null, "x", null), LimitUnit.RATE, random.nextInt(99), random.nextInt(9));
        return new QuotaGrant(
                "g",
                random.nextLong(),
                random.nextInt(9),
                random.nextInt(9),
                random.nextInt(9),
                true,
                List.of(spec),
                slotGrants);
    }

    static byte[] bytes(Heartbeat heartbeat) {
        CborOut out = new CborOut();
        LimitCodec.write(out, heartbeat);
        return out.done();
    }

    @Property(seed = "21", tries = 200)
    void messagesSurviveARoundTrip(@ForAll long seed) throws FaultyMessageException {
        Random random = new Random(seed);
        Heartbeat heartbeat = heartbeat(random);
        assertEquals(heartbeat, LimitCodec.readHeartbeat(new CborIn(bytes(heartbeat))));
        QuotaGrant grant = grant(random);
        CborOut out = new CborOut();
        LimitCodec.write(out, grant);
        assertEquals(grant, LimitCodec.readGrant(new CborIn(out.done())));
        FloorFile file =
                new FloorFile("boot", random.nextLong(), 5, List.of(new SavedFloor("l", "t", random.nextInt(99))));
        assertEquals(file, FloorFile.read(file.write()));
        LimitCommand command = new LimitCommand.SetLimits(random.nextInt(99), grant.limits());
        assertEquals(command, LimitCommandCodec.read(LimitCommandCodec.write(command)));
    }

    @Property(seed = "22", tries = 300)
    void corruptBytesAreRejectedOrDecodeToAnotherMessage(@ForAll long seed, @ForAll @IntRange(max = 400) int position) {
        byte[] valid = bytes(heartbeat(new Random(seed)));
        byte[] corrupt = valid.clone();
        corrupt[position % corrupt.length] ^= (byte) (1 + seed % 127);
        for (byte[] message : List.of(corrupt, Arrays.copyOf(valid, position % valid.length))) {
            try {
                assertTrue(
                        LimitCodec.readHeartbeat(new CborIn(message)).reports().size() <= Heartbeat.MAX_REPORTS);
            } catch (FaultyMessageException e) {
                assertTrue(e.getMessage().contains("value") || e.getMessage().contains("CBOR"), e.getMessage());
            }
        }
        assertThrows(
                FaultyMessageException.class, () -> LimitCommandCodec.read(new byte[] {(byte) (position % 200 + 24)}));
    }
}
