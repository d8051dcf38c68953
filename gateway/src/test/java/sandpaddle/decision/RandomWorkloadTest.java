package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares a digest of all actions under random workloads with a recorded one: refactoring must not change it. */
class RandomWorkloadTest {
    /** Digest of the lines of {@link ActionText}, recorded on x86-64, whose logarithms it depends on. */
    private static final String RECORDED_DIGEST = "b406bf36aafc0b605eddfcb6651ac3437a61071605324a2274baa7a55ba28359";

    private static final int WORKLOADS = 15;
    private static final long LENGTH_US = 10_000_000;

    @Test
    void actionsOfRandomWorkloadsEqualTheRecordedOnes() throws Exception {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        int sends = 0;
        for (int workload = 0; workload < WORKLOADS; workload++) {
            int seed = workload;
            List<String> actions = new RandomWorkload(seed, s -> new DefaultDecisionModule(s, seed)).run(LENGTH_US);
            actions.forEach(a -> digest.update((a + "\n").getBytes(StandardCharsets.UTF_8)));
            sends += (int) actions.stream().filter(a -> a.contains(" send ")).count();
        }
        assertTrue(sends > 5000, "sends " + sends);
        assertEquals(RECORDED_DIGEST, HexFormat.of().formatHex(digest.digest()));
    }
}
