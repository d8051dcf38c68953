package sandpaddle.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Recomputes the figures of a fleet run from the events of engines, clients, proxies, gateway logs and the fault
 * schedule. It shares no code with the gateways: running queries are counted at the engines. Events are sorted by time
 * first.
 */
public final class FleetAudit {
    // a resumed gateway needs this long to detect the suspension and answer overdue requests
    private static final long RESUME_GRACE_US = 2_500_000;

    private final Map<String, Integer> answerCounts = new HashMap<>();
    private final Map<String, Long> answers = new TreeMap<>();
    private final Map<String, String> gatewayOf = new HashMap<>(); // by attempt
    private final Map<String, String> requestOf = new HashMap<>();
    private final Map<String, Set<String>> loadAttempts = new HashMap<>();
    private final Map<String, String> running = new HashMap<>(); // request class by attempt and engine
    private final FleetLimits limits = new FleetLimits();
    final OutageAudit outage = new OutageAudit();
    private final VerdictAudit verdicts = new VerdictAudit();
    private final CostAudit costs = new CostAudit();
    private final PoolAudit pools = new PoolAudit();
    private final QuotaBaselineModel quotaBaselines = new QuotaBaselineModel();
    private final Map<String, Long> isolatedSince = new HashMap<>();
    private final Map<String, Long> downSince = new HashMap<>(); // killed or suspended gateways
    private final Map<String, Long> suspendedUntil = new HashMap<>(); // by gateway: no answers are owed until then
    private final Set<String> sentWhileSuspended = new HashSet<>();
    private long lostWhileSuspended,
            duplicateAnswers,
            coldCrashes,
            killCount,
            linkCuts,
            disksFilled,
            highestVersion,
            lostVersions;
    private long isolations, floorsHonoured;
    private final Set<String> servedWhileIsolated = new HashSet<>();

    /** Returns the figures of the events of {@link #read}, by name. */
    static Map<String, Object> recount(List<Map<String, String>> events) {
        return auditOf(events).figures();
    }

    /** Returns an audit that has processed all events. */
    static FleetAudit auditOf(List<Map<String, String>> events) {
        FleetAudit audit = new FleetAudit();
        events.forEach(audit::process);
        return audit;
    }

    /** Whether the events come from a fleet run: only its schedule records limits. */
    static boolean isFleet(List<Map<String, String>> events) {
        return events.stream()
                .anyMatch(event -> "script".equals(event.get("party")) && "limit".equals(event.get("kind")));
    }

    /** Reads all events of a file and sorts them by time. */
    public static List<Map<String, String>> read(Path file) throws IOException {
        List<Map<String, String>> events = new ArrayList<>();
        try (JsonParser in = new JsonFactory().createParser(file.toFile())) {
            while (in.nextToken() == JsonToken.START_OBJECT) {
                Map<String, String> event = new HashMap<>();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String key = in.currentName();
                    in.nextToken();
                    event.put(key, in.getText());
                }
                events.add(event);
            }
        }
        // stable sort: keeps the order of each party's events
        events.sort(Comparator.comparingLong(event -> Long.parseLong(event.get("us"))));
        return events;
    }

    private void process(Map<String, String> event) {
        long timestampUs = Long.parseLong(event.get("us"));
        outage.scriptEvent(event, timestampUs);
        String gateway = event.get("gateway");
        switch (event.get("party") + " " + event.get("kind")) {
            case "client ask" -> {
                requestOf.put(event.get("attempt"), event.get("request"));
                gatewayOf.put(event.get("attempt"), gateway);
                attemptSent(event, timestampUs);
            }
            case "client answer" -> attemptAnswered(event, timestampUs);
            case "engine begin" -> attemptStarted(event, timestampUs);
            case "engine end" -> attemptEnded(event, timestampUs);
            case "engine connections" ->
                pools.connections(event.get("engine"), Long.parseLong(event.get("open")), timestampUs);
            case "script pool" ->
                pools.budget(Long.parseLong(event.get("each")), timestampUs, Long.parseLong(event.get("holds")));
            case "script cpu" -> costs.gatewayCpu(gateway, Long.parseLong(event.get("ms")));
            case "script traffic" -> costs.linkTraffic(Long.parseLong(event.get("bytes")), timestampUs);
            case "script end" -> pools.end(timestampUs);
            case "engine cold-fall" -> coldCrashes++;
            case "engine sick" -> verdicts.engineFailed(event.get("engine"), timestampUs);
            case "engine well" -> verdicts.engineRecovered(event.get("engine"), timestampUs);
            case "script limit" -> {
                limits.limitChanged(event, timestampUs);
                quotaBaselines.limitChanged(event);
            }
            case "script uneven" -> {
                limits.unevenDemandStarted(timestampUs);
                quotaBaselines.unevenDemandStarted(timestampUs);
            }
            case "script even" -> {
                limits.unevenDemandEnded(timestampUs);
                quotaBaselines.unevenDemandEnded(timestampUs);
            }
            case "script engines-cut", "script hall-cut" -> verdicts.linksCut();
            case "script engines-back", "script hall-back" -> verdicts.linksBack(timestampUs);
            case "script killed" -> {
                killCount++;
                downSince.put(gateway, timestampUs);
            }
            case "script stopped" -> {
                downSince.put(gateway, timestampUs);
                suspendedUntil.put(gateway, Long.MAX_VALUE);
            }
            case "script continued" -> {
                downSince.remove(gateway);
                suspendedUntil.put(gateway, timestampUs + RESUME_GRACE_US);
            }
            case "script gateway-started" -> downSince.remove(gateway);
            case "script disk-full" -> disksFilled++;
            case "script isolated" -> isolatedSince.put(gateway, timestampUs);
            case "script joined" -> rejoined(gateway);
            case "relay cut" -> linkCuts++;
            case "gateway verdict-begins" ->
                verdicts.verdictReceived(
                        event, timestampUs, downSince.containsKey(gateway) || isolatedSince.containsKey(gateway));
            case "gateway rules" -> rulesApplied(Long.parseLong(event.get("version")));
            default -> {} // other events do not affect the figures
        }
    }

    private void attemptSent(Map<String, String> event, long timestampUs) {
        if (suspendedUntil.getOrDefault(event.get("gateway"), 0L) == Long.MAX_VALUE) {
            // read only after the gateway resumes: the client timeout counts from then
            sentWhileSuspended.add(event.get("attempt"));
        }
        outage.attemptSent(event, timestampUs);
        quotaBaselines.attemptSent(event, timestampUs);
        costs.attemptSent(event.get("attempt"), timestampUs);
    }

    private void attemptAnswered(Map<String, String> event, long timestampUs) {
        if (event.get("outcome").equals("lost")
                && (sentWhileSuspended.contains(event.get("attempt"))
                        || timestampUs < suspendedUntil.getOrDefault(gatewayOf.get(event.get("attempt")), 0L))) {
            answerCounts.merge(event.get("attempt"), 1, Integer::sum);
            lostWhileSuspended++;
            return;
        }
        int before = answerCounts.merge(event.get("attempt"), 1, Integer::sum) - 1;
        if (event.get("outcome").equals("second") || before > 0) {
            duplicateAnswers++;
        } else {
            answers.merge(event.get("outcome"), 1L, Long::sum);
            if (event.get("outcome").equals("served")) {
                outage.attemptServed(event, timestampUs);
                costs.attemptServed(event.get("attempt"), timestampUs);
            }
        }
    }

    private void attemptStarted(Map<String, String> event, long timestampUs) {
        String attempt = event.get("attempt");
        String engine = event.get("engine");
        if (event.get("class").equals("load")) {
            loadAttempts
                    .computeIfAbsent(requestOf.getOrDefault(attempt, attempt), k -> new HashSet<>())
                    .add(attempt);
        }
        running.put(attempt + " " + engine, event.get("class"));
        limits.attemptStarted(timestampUs, event.get("class"), engine);
        outage.attemptStarted(event, timestampUs);
        quotaBaselines.attemptStarted(attempt, timestampUs);
        recordFloorUse(attempt, timestampUs);
    }

    /** Records an attempt that an isolated gateway runs after its lease has expired, so within its floor. */
    private void recordFloorUse(String attempt, long timestampUs) {
        Long isolatedUs = isolatedSince.get(gatewayOf.get(attempt));
        if (isolatedUs != null && timestampUs > isolatedUs + (FleetFiles.LEASE_MS + 1000) * 1000) {
            servedWhileIsolated.add(gatewayOf.get(attempt));
        }
    }

    private void attemptEnded(Map<String, String> event, long timestampUs) {
        String requestClass = running.remove(event.get("attempt") + " " + event.get("engine"));
        if (requestClass != null) {
            recordFloorUse(event.get("attempt"), timestampUs);
            limits.attemptEnded(timestampUs, requestClass, event.get("engine"));
            quotaBaselines.attemptEnded(event.get("attempt"), requestClass, timestampUs);
            if (requestClass.equals("load") && "ok".equals(event.get("outcome"))) {
                outage.loadCompleted(event.get("request"), timestampUs);
            }
        }
    }

    /**
     * Counts a rejoined gateway as having used its floor if an attempt began after the lease, or still ran when it
     * rejoined: a single load that may not be withdrawn uses up a floor of one.
     */
    private void rejoined(String gateway) {
        if (isolatedSince.remove(gateway) != null) {
            isolations++;
            boolean runsOn = running.keySet().stream()
                    .anyMatch(a -> gateway.equals(gatewayOf.get(a.substring(0, a.indexOf(' ')))));
            floorsHonoured += servedWhileIsolated.remove(gateway) || runsOn ? 1 : 0;
        }
    }

    private void rulesApplied(long version) {
        // a gateway may receive the last two versions out of order
        lostVersions += version < highestVersion - 1 ? 1 : 0;
        highestVersion = Math.max(highestVersion, version);
    }

    private Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("requests", (long) new HashSet<>(requestOf.values()).size());
        figures.put("tries", (long) requestOf.size());
        figures.put("answers", answers);
        figures.put("secondAnswers", duplicateAnswers);
        figures.put("lost", answers.getOrDefault("lost", 0L));
        figures.put("lostInStop", lostWhileSuspended);
        figures.put(
                "unanswered",
                requestOf.keySet().stream()
                        .filter(a -> !answerCounts.containsKey(a))
                        .count());
        figures.put(
                "loadsRunTwice",
                loadAttempts.values().stream().filter(r -> r.size() > 1).count());
        figures.put("coldFalls", coldCrashes);
        limits.figures(figures);
        quotaBaselines.figures(figures);
        figures.put("floorsKept", isolations == 0 ? 1.0 : (double) floorsHonoured / isolations);
        figures.put("isolations", isolations);
        verdicts.figures(figures);
        figures.put("acknowledgedLost", lostVersions);
        figures.put("disksFilled", disksFilled);
        figures.put("killed", killCount);
        figures.put("cuts", linkCuts);
        pools.figures(figures);
        costs.figures(figures);
        outage.figures(figures);
        return figures;
    }
}
