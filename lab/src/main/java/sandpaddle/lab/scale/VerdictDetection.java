package sandpaddle.lab.scale;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Compares the verdicts at gateways with the injected failure of an engine. */
final class VerdictDetection {
    /** How long after the recovery of an engine a verdict on it may still begin. */
    private static final long MAX_VERDICT_AFTER_RECOVERY_US = 12_000_000;

    private final Map<String, Long> receivedAtUs = new HashMap<>(); // by gateway
    private String failedEngine;
    private long failedAtUs;
    private long recoveredAtUs = Long.MAX_VALUE;
    private long falsePositives;

    void engineFailed(String engine, long us) {
        failedEngine = engine;
        failedAtUs = us;
    }

    void engineRecovered(long us) {
        recoveredAtUs = us;
    }

    void verdictStarted(String gateway, String engine, long us) {
        boolean correct = engine.equals(failedEngine)
                && us >= failedAtUs
                && (recoveredAtUs == Long.MAX_VALUE || us <= recoveredAtUs + MAX_VERDICT_AFTER_RECOVERY_US);
        if (correct) {
            receivedAtUs.putIfAbsent(gateway, us);
        } else {
            falsePositives++;
        }
    }

    /** The number of verdicts on healthy engines, counted at each gateway. */
    long falsePositives() {
        return falsePositives;
    }

    /** Milliseconds from the failure of the engine until each gateway received the verdict. */
    List<Long> delaysMs() {
        return receivedAtUs.values().stream()
                .map(us -> (us - failedAtUs) / 1000)
                .toList();
    }
}
