package sandpaddle.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Checks each figure of the fleet audit with hand-written events, including those that reveal a fault. */
class FleetAuditTest {
    private static final long US_PER_SECOND = 1_000_000;

    private final List<Map<String, String>> events = new ArrayList<>();

    private void add(long timestampUs, String party, String kind, String... fields) {
        Map<String, String> event =
                new HashMap<>(Map.of("us", Long.toString(timestampUs), "party", party, "kind", kind));
        for (int i = 0; i < fields.length; i += 2) {
            event.put(fields[i], fields[i + 1]);
        }
        events.add(event);
    }

    private void limit(long timestampUs, String name, long running, long holds) {
        add(
                timestampUs,
                "script",
                "limit",
                "limit",
                name,
                "running",
                "" + running,
                "per_s",
                "0.0",
                "burst",
                "0",
                "gateways",
                "2",
                "holds",
                "" + holds);
    }

    private void sent(long timestampUs, String attempt, String request, String requestClass, String gateway) {
        add(
                timestampUs,
                "client",
                "ask",
                "attempt",
                attempt,
                "request",
                request,
                "class",
                requestClass,
                "gateway",
                gateway,
                "worth",
                "1",
                "late",
                "0.5",
                "aim",
                "2000000",
                "patience",
                "4000",
                "tenant",
                "acme",
                "statement",
                request);
    }

    private void answered(long timestampUs, String attempt, String outcome) {
        add(timestampUs, "client", "answer", "attempt", attempt, "outcome", outcome);
    }

    private void started(long timestampUs, String attempt, String requestClass, String engine) {
        add(
                timestampUs,
                "engine",
                "begin",
                "attempt",
                attempt,
                "request",
                "x",
                "class",
                requestClass,
                "engine",
                engine);
    }

    private void ended(long timestampUs, String attempt, String engine) {
        add(timestampUs, "engine", "end", "attempt", attempt, "request", "x", "engine", engine, "outcome", "ok");
    }

    private Map<String, Object> figures() {
        events.sort(Comparator.comparingLong(event -> Long.parseLong(event.get("us"))));
        return FleetAudit.recount(events);
    }

    private void addCleanRun() {
        limit(0, "all", 1, 0);
        sent(US_PER_SECOND, "a", "r1", "load", "n0");
        started(US_PER_SECOND, "a", "load", "s-0");
        ended(2 * US_PER_SECOND, "a", "s-0");
        answered(2 * US_PER_SECOND, "a", "served");
    }

    @Test
    void acceptsCleanRun() {
        addCleanRun();
        Map<String, Object> figures = figures();
        assertEquals(1L, figures.get("requests"));
        assertEquals(Map.of("served", 1L), figures.get("answers"));
        assertTrue(FleetCommand.rulesHold(figures), figures.toString());
    }

    @Test
    void countsDuplicateAnswer() {
        addCleanRun();
        answered(3 * US_PER_SECOND, "a", "second");
        assertEquals(1L, figures().get("secondAnswers"));
        assertFalse(FleetCommand.rulesHold(figures()));
    }

    @Test
    void countsLostAndUnansweredAttempts() {
        addCleanRun();
        sent(US_PER_SECOND, "b", "r2", "lookup", "n0");
        answered(9 * US_PER_SECOND, "b", "lost");
        sent(US_PER_SECOND, "c", "r3", "lookup", "n0");
        Map<String, Object> figures = figures();
        assertEquals(1L, figures.get("lost"));
        assertEquals(1L, figures.get("unanswered"));
        assertFalse(FleetCommand.rulesHold(figures));
    }

    @Test
    void excusesLostAnswersOfSuspendedGateway() {
        addCleanRun();
        sent(US_PER_SECOND, "b", "r2", "lookup", "n0");
        add(2 * US_PER_SECOND, "script", "stopped", "gateway", "n0");
        answered(5 * US_PER_SECOND, "b", "lost");
        add(6 * US_PER_SECOND, "script", "continued", "gateway", "n0");
        assertEquals(0L, figures().get("lost"));
        assertEquals(1L, figures().get("lostInStop"));
        sent(7 * US_PER_SECOND, "c", "r3", "lookup", "n0");
        answered(12 * US_PER_SECOND, "c", "lost");
        assertEquals(1L, figures().get("lost"));
    }

    @Test
    void countsLoadRunUnderTwoTraces() {
        addCleanRun();
        sent(3 * US_PER_SECOND, "b", "r1", "load", "n1");
        started(3 * US_PER_SECOND, "b", "load", "s-1");
        ended(4 * US_PER_SECOND, "b", "s-1");
        answered(4 * US_PER_SECOND, "b", "served");
        assertEquals(1L, figures().get("loadsRunTwice"));
        assertFalse(FleetCommand.rulesHold(figures()));
    }

    @Test
    void countsAttemptOverLimit() {
        addCleanRun();
        started(US_PER_SECOND + 10, "b", "lookup", "s-1");
        assertEquals(1L, figures().get("limitOverMost"));
        assertFalse(FleetCommand.rulesHold(figures()));
    }

    @Test
    void appliesLoweredLimitOnceEffective() {
        limit(0, "all", 2, 0);
        limit(US_PER_SECOND, "all", 1, 5 * US_PER_SECOND);
        started(2 * US_PER_SECOND, "a", "lookup", "s-0");
        started(3 * US_PER_SECOND, "b", "lookup", "s-0");
        assertEquals(0L, figures().get("limitOverMost"));
        ended(4 * US_PER_SECOND, "a", "s-0");
        started(6 * US_PER_SECOND, "c", "lookup", "s-0");
        assertEquals(1L, figures().get("limitOverMost"));
    }

    @Test
    void countsPerEngineLimitSeparately() {
        add(
                0,
                "script",
                "limit",
                "limit",
                "each",
                "engine",
                "*",
                "running",
                "1",
                "per_s",
                "0.0",
                "burst",
                "0",
                "gateways",
                "2",
                "holds",
                "0");
        started(US_PER_SECOND, "a", "lookup", "s-0");
        started(US_PER_SECOND, "b", "lookup", "s-1");
        assertEquals(0L, figures().get("limitOverMost"));
        started(2 * US_PER_SECOND, "c", "lookup", "s-1");
        assertEquals(1L, figures().get("limitOverMost"));
    }

    @Test
    void allowsOneBurstPerGatewayOverRate() {
        add(
                0,
                "script",
                "limit",
                "limit",
                "loads",
                "class",
                "load",
                "running",
                "0",
                "per_s",
                "1.0",
                "burst",
                "2",
                "gateways",
                "2",
                "holds",
                "0");
        for (int i = 0; i < 4; i++) {
            started(US_PER_SECOND, "a" + i, "load", "s-0");
        }
        assertEquals(4.0, (double) figures().get("rateOverMost"), 1e-9);
        assertTrue((double) figures().get("rateOverMost") <= (double) figures().get("rateOverBound"));
        started(US_PER_SECOND, "b", "load", "s-0");
        started(US_PER_SECOND, "c", "load", "s-0");
        assertFalse(FleetCommand.rulesHold(figures()));
    }

    @Test
    void reportsFloorUnusedWhenIsolatedGatewayServesNothing() {
        addCleanRun();
        add(3 * US_PER_SECOND, "script", "isolated", "gateway", "n1");
        add(20 * US_PER_SECOND, "script", "joined", "gateway", "n1");
        assertEquals(0.0, figures().get("floorsKept"));
        sent(10 * US_PER_SECOND, "b", "r2", "lookup", "n1");
        started(10 * US_PER_SECOND, "b", "lookup", "s-0");
        ended(11 * US_PER_SECOND, "b", "s-0");
        answered(11 * US_PER_SECOND, "b", "served");
        assertEquals(1.0, figures().get("floorsKept"));
    }

    @Test
    void countsWrongAndLateVerdicts() {
        limit(0, "all", 9, 0);
        add(US_PER_SECOND, "gateway", "verdict-begins", "gateway", "n0", "engine", "s-1", "outcome", "SICK");
        add(2 * US_PER_SECOND, "engine", "sick", "engine", "s-0");
        add(3 * US_PER_SECOND, "gateway", "verdict-begins", "gateway", "n0", "engine", "s-0", "outcome", "SICK");
        add(
                3 * US_PER_SECOND + 700_000,
                "gateway",
                "verdict-begins",
                "gateway",
                "n1",
                "engine",
                "s-0",
                "outcome",
                "SICK");
        assertEquals(1L, figures().get("wrongVerdicts"));
        assertEquals(700L, figures().get("verdictStaleMostMs"));
    }

    @Test
    void countsVersionThatGoesBack() {
        limit(0, "all", 9, 0);
        add(US_PER_SECOND, "gateway", "rules", "gateway", "n0", "version", "5");
        add(2 * US_PER_SECOND, "gateway", "rules", "gateway", "n1", "version", "4");
        assertEquals(0L, figures().get("acknowledgedLost"));
        add(3 * US_PER_SECOND, "gateway", "rules", "gateway", "n1", "version", "3");
        assertEquals(1L, figures().get("acknowledgedLost"));
    }

    @Test
    void comparesUtilizationWithEqualSharesAndCentralAllocator() {
        limit(0, "all", 2, 0);
        add(0, "script", "uneven", "gateway", "n0");
        for (int i = 0; i < 2; i++) { // both at one of the two gateways
            sent(US_PER_SECOND, "a" + i, "r" + i, "lookup", "n0");
            started(US_PER_SECOND, "a" + i, "lookup", "s-0");
            ended(11 * US_PER_SECOND, "a" + i, "s-0");
        }
        add(12 * US_PER_SECOND, "script", "even");
        Map<String, Object> figures = figures();
        assertEquals(0.9, (double) figures.get("limitUse"), 1e-9);
        assertEquals(0.9, (double) figures.get("limitUseCentral"), 1e-9);
        assertEquals(0.45, (double) figures.get("limitUseEqual"), 1e-9);
    }

    @Test
    void commandComparesRecountedWithReportedFigures(@TempDir Path folder) throws IOException {
        addCleanRun();
        Path file = folder.resolve("e.jsonl");
        try (Events out = new Events(file)) {
            for (Map<String, String> event : events) {
                List<Object> fields = new ArrayList<>();
                event.forEach((k, v) -> {
                    if (!List.of("us", "party", "kind").contains(k)) {
                        fields.addAll(List.of(k, v));
                    }
                });
                out.add(Long.parseLong(event.get("us")), event.get("party"), event.get("kind"), fields.toArray());
            }
        }
        Path reported = folder.resolve("told.json");
        StringBuilder json = new StringBuilder("{\"scenario\":\"calm\"");
        figures().forEach((k, v) -> json.append(v instanceof Number ? ",\"" + k + "\":" + v : ""));
        Files.writeString(reported, json.append("}").toString());
        assertEquals(0, new CommandLine(new AuditCommand()).execute(file.toString(), "--against", reported.toString()));
        Files.writeString(reported, json.toString().replace("\"requests\":1", "\"requests\":2"));
        assertEquals(
                Main.RULE_VIOLATED,
                new CommandLine(new AuditCommand()).execute(file.toString(), "--against", reported.toString()));
    }
}
