package sandpaddle.lab;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Delay between gateways in receiving verdicts on a failing engine, and wrong verdicts on healthy engines. */
final class VerdictAudit {
    private static final Set<String> EJECTION_KINDS = Set.of("SICK", "SILENT", "SLOW", "LINK");
    private static final long MAX_DELAY_MS = 500;
    // a verdict may be based on evidence from before the engine recovered
    private static final long RECOVERY_GRACE_US = 5_000_000;

    private final Map<String, Long> failingSince = new HashMap<>();
    private final Map<String, Long> recoveredSince = new HashMap<>();
    // by engine, kind and failure: when each gateway received it
    private final Map<String, Map<String, Long>> verdicts = new HashMap<>();
    private long linksCutUntil; // of links to engines; until then a verdict on a link may be right
    private long wrongVerdicts;
    private long maxDelayUs;

    void engineFailed(String engine, long timestampUs) {
        failingSince.put(engine, timestampUs);
    }

    void engineRecovered(String engine, long timestampUs) {
        failingSince.remove(engine);
        recoveredSince.put(engine, timestampUs);
    }

    void linksCut() {
        linksCutUntil = Long.MAX_VALUE;
    }

    void linksBack(long timestampUs) {
        linksCutUntil = timestampUs + RECOVERY_GRACE_US;
    }

    /**
     * Records that a gateway received a verdict.
     *
     * @param isolated whether the gateway was isolated or suspended, so that it may receive it late
     */
    void verdictReceived(Map<String, String> event, long timestampUs, boolean isolated) {
        if (!EJECTION_KINDS.contains(event.get("outcome"))) {
            return;
        }
        String engine = event.get("engine");
        Long failingSinceUs = failingSince.get(engine);
        if (failingSinceUs == null) {
            boolean linkFault = event.get("outcome").equals("LINK") && timestampUs < linksCutUntil;
            wrongVerdicts += !linkFault
                            && timestampUs - recoveredSince.getOrDefault(engine, Long.MIN_VALUE / 2) > RECOVERY_GRACE_US
                    ? 1
                    : 0;
        } else if (!isolated) {
            Map<String, Long> receivedUs = verdicts.computeIfAbsent(
                    engine + " " + event.get("outcome") + " " + failingSinceUs, k -> new LinkedHashMap<>());
            // a verdict that ends and begins again is not counted as late
            if (receivedUs.putIfAbsent(event.get("gateway"), timestampUs) == null) {
                maxDelayUs = Math.max(
                        maxDelayUs, timestampUs - receivedUs.values().iterator().next());
            }
        }
    }

    void figures(Map<String, Object> figures) {
        figures.put(
                "verdictsHeard", verdicts.values().stream().mapToLong(Map::size).sum());
        figures.put("verdictStaleMostMs", maxDelayUs / 1000);
        figures.put("verdictStaleBoundMs", MAX_DELAY_MS);
        figures.put("wrongVerdicts", wrongVerdicts);
    }
}
