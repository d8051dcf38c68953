package sandpaddle.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the clients of a zone got during its outage, from the events. An answer marked as stored names the engine run
 * that it comes from: its owner and its start are looked up in the engines' events.
 */
final class OutageAudit {
    // a load that ended this long before the cut is known in the zone
    private static final long LOAD_NOTICE_US = 2_000_000;
    private static final int DATA_GROUPS = 40;

    /**
     * A client attempt.
     *
     * @param sentUs time at which it was sent
     */
    record SentRequest(
            String request,
            String requestClass,
            String zone,
            String tenant,
            String statement,
            double priorityWeight,
            double lateWeightFactor,
            long latencyObjectiveUs,
            long work,
            long sentUs) {
        String key() {
            return tenant + " " + requestClass + " " + statement;
        }

        double weightAt(long durationUs) {
            return durationUs <= latencyObjectiveUs ? priorityWeight : priorityWeight * lateWeightFactor;
        }
    }

    private record EngineRun(long startedUs, String tenant, String statement) {}

    private final Map<String, SentRequest> sentByAttempt = new HashMap<>(); // by attempt
    private final Map<String, SentRequest> firstByRequest = new HashMap<>(); // by request
    private final Map<String, EngineRun> runs = new HashMap<>(); // by attempt: the earliest run at any engine
    private final Map<String, Long> maxAgesMs = new HashMap<>(); // by request class
    // by data group: end of the last load before the cut
    private final Map<Integer, Long> loadCompletedUs = new HashMap<>();
    private final Map<String, Boolean> servedFromStore = new HashMap<>(); // by request first sent in the outage
    private final Map<String, Double> servedWeight = new HashMap<>();
    // first attempts in the outage, of classes with stored results
    private final TreeMap<Long, SentRequest> demand = new TreeMap<>();
    private final Map<String, Long> lastSentUs = new HashMap<>(); // by request
    private final CacheBaselineModel baselines = new CacheBaselineModel();
    private String zone;
    private long cutUs = -1;
    private long restoredUs = -1;
    private long isolationKnownUs = Long.MAX_VALUE; // when the zone detected its isolation
    private long maxStaleMs;
    private long staleBoundMs;
    private long storedServed;
    private long foreignServed;
    private long loadsStored;
    private long outdatedServed;
    private long servedOfNoRun;

    /** Processes the outage events of the schedule and of the gateways' logs; ignores others. */
    void scriptEvent(Map<String, String> event, long timestampUs) {
        switch (event.get("party") + " " + event.get("kind")) {
            case "script ages" -> maxAges(event);
            case "script store" -> storeLimits(event);
            case "script hall-cut" -> zoneCut(event.get("hall"), timestampUs);
            case "script hall-back" -> zoneRestored(timestampUs);
            case "gateway hall-moves" -> {
                if (event.get("outcome").equals("ISOLATED")) {
                    isolationDetected(timestampUs);
                }
            }
            default -> {} // not about outages
        }
    }

    void maxAges(Map<String, String> event) {
        maxAgesMs.put(event.get("class"), Long.parseLong(event.get("age")));
        baselines.maxAge(event.get("class"), Long.parseLong(event.get("age")) * 1000);
    }

    void storeLimits(Map<String, String> event) {
        baselines.limits(Long.parseLong(event.get("bytes")), Long.parseLong(event.get("fill")) * 1000);
    }

    void zoneCut(String cutZone, long timestampUs) {
        zone = cutZone;
        cutUs = timestampUs;
    }

    /**
     * Records that a gateway detected the isolation of its zone: no stored results are served before that, by any cache
     * policy.
     */
    void isolationDetected(long timestampUs) {
        isolationKnownUs = cutUs >= 0 ? Math.min(isolationKnownUs, timestampUs) : isolationKnownUs;
    }

    void zoneRestored(long timestampUs) {
        restoredUs = timestampUs;
    }

    private boolean isDuringOutage(long timestampUs) {
        return cutUs >= 0 && timestampUs >= cutUs && (restoredUs < 0 || timestampUs < restoredUs);
    }

    void attemptSent(Map<String, String> event, long sentUs) {
        SentRequest sent = new SentRequest(
                event.get("request"),
                event.get("class"),
                event.get("hall"),
                event.get("tenant"),
                event.get("statement"),
                Double.parseDouble(event.get("worth")),
                Double.parseDouble(event.get("late")),
                Long.parseLong(event.get("aim")),
                Long.parseLong(event.getOrDefault("work", "0")),
                sentUs);
        sentByAttempt.put(event.get("attempt"), sent);
        lastSentUs.put(sent.request, sentUs);
        boolean first = firstByRequest.putIfAbsent(sent.request, sent) == null;
        if (first
                && isDuringOutage(sentUs)
                && sent.zone != null
                && sent.zone.equals(zone)
                && maxAgesMs.getOrDefault(sent.requestClass, 0L) > 0) {
            demand.put(sentUs * 1000 + demand.size() % 1000, sent);
        }
    }

    void attemptStarted(Map<String, String> event, long timestampUs) {
        SentRequest sent = sentByAttempt.get(event.get("attempt")); // null for a prefetch
        runs.putIfAbsent(
                event.get("attempt"),
                new EngineRun(timestampUs, sent == null ? null : sent.tenant, event.get("request")));
    }

    /** Records that a load completed at an engine. */
    void loadCompleted(String statement, long timestampUs) {
        int group = Math.floorMod(statement.hashCode(), DATA_GROUPS);
        if (cutUs < 0 || timestampUs < cutUs - LOAD_NOTICE_US) {
            loadCompletedUs.put(group, timestampUs);
        }
    }

    void attemptServed(Map<String, String> event, long timestampUs) {
        SentRequest sent = sentByAttempt.get(event.get("attempt"));
        if (sent == null) {
            return;
        }
        boolean stored = !"0".equals(event.getOrDefault("stored", "0"));
        String[] row = event.getOrDefault("row", "").split(" ");
        if (row.length == 3) {
            EngineRun run = runs.get(row[2]);
            foreignServed += !row[0].equals(sent.statement)
                            || !row[1].equals(sent.requestClass)
                            || run != null && run.tenant != null && !run.tenant.equals(sent.tenant)
                    ? 1
                    : 0;
            if (stored) {
                recordStoredAnswer(sent, run, timestampUs);
            } else if (sent.zone != null && sent.zone.equals(zone == null ? OutagePlan.ZONE : zone) && run != null) {
                baselines.attemptServed(sent, run.startedUs, timestampUs);
            }
        }
        if (servedFromStore.putIfAbsent(sent.request, stored) == null) {
            servedWeight.put(sent.request, firstAttempt(sent).weightAt(timestampUs - firstAttempt(sent).sentUs));
        }
    }

    private SentRequest firstAttempt(SentRequest attempt) {
        return firstByRequest.get(attempt.request);
    }

    private void recordStoredAnswer(SentRequest sent, EngineRun run, long timestampUs) {
        storedServed++;
        servedOfNoRun += run == null ? 1 : 0;
        loadsStored += sent.requestClass.equals("load") ? 1 : 0;
        if (run != null) {
            long age = (timestampUs - run.startedUs) / 1000;
            maxStaleMs = Math.max(maxStaleMs, age);
            staleBoundMs = Math.max(staleBoundMs, maxAgesMs.getOrDefault(sent.requestClass, 0L));
            outdatedServed += isOutdated(sent, run.startedUs) ? 1 : 0;
        }
    }

    /** Whether a load that the zone could know of has completed since. */
    private boolean isOutdated(SentRequest sent, long startedUs) {
        Long changed = loadCompletedUs.get(Math.floorMod(sent.statement.hashCode(), DATA_GROUPS));
        return changed != null && changed > startedUs && changed < cutUs - LOAD_NOTICE_US;
    }

    private boolean lruWouldServe(SentRequest sent) {
        long at = Math.max(isolationKnownUs, sent.sentUs);
        return lastSentUs.get(sent.request) >= isolationKnownUs
                && baselines.lruWouldServe(sent, at)
                && !isOutdated(sent, baselines.resultStartedUs(sent));
    }

    /** Returns for each second of the outage: second, priority weight demanded, priority weight served. */
    List<double[]> bySecond() {
        TreeMap<Long, double[]> seconds = new TreeMap<>();
        demand.values().forEach(a -> {
            double[] s = seconds.computeIfAbsent((a.sentUs - cutUs) / 1_000_000, k -> new double[] {k, 0, 0});
            s[1] += a.priorityWeight;
            s[2] += servedWeight.getOrDefault(a.request, 0.0);
        });
        return new ArrayList<>(seconds.values());
    }

    void figures(Map<String, Object> figures) {
        double demandedWeight = demand.values().stream()
                .mapToDouble(SentRequest::priorityWeight)
                .sum();
        double uncachedWeight = demand.values().stream()
                .filter(a -> Boolean.FALSE.equals(servedFromStore.get(a.request)))
                .mapToDouble(a -> servedWeight.get(a.request))
                .sum();
        double gatewayWeight = demand.values().stream()
                .mapToDouble(a -> servedWeight.getOrDefault(a.request, 0.0))
                .sum();
        double lruWeight = demand.values().stream()
                .mapToDouble(a -> lruWouldServe(a)
                        ? a.weightAt(Math.max(0, isolationKnownUs - a.sentUs))
                        : Boolean.FALSE.equals(servedFromStore.get(a.request)) ? servedWeight.get(a.request) : 0)
                .sum();
        figures.put("outageAsks", (long) demand.size());
        figures.put("storedServed", storedServed);
        figures.put("storedOfNoRun", servedOfNoRun);
        figures.put("loadsFromStore", loadsStored);
        figures.put("outdatedServed", outdatedServed);
        figures.put("foreignServed", foreignServed);
        figures.put("staleServedMostMs", maxStaleMs);
        figures.put("staleServedBoundMs", staleBoundMs);
        figures.put("outageWorthKept", demandedWeight == 0 ? -1.0 : gatewayWeight / demandedWeight);
        figures.put("outageWorthLru", demandedWeight == 0 ? -1.0 : lruWeight / demandedWeight);
        figures.put("outageWorthNone", demandedWeight == 0 ? -1.0 : uncachedWeight / demandedWeight);
        figures.put(
                "outageWorthOracle", demandedWeight == 0 ? -1.0 : baselines.oracle(demand.values()) / demandedWeight);
    }
}
