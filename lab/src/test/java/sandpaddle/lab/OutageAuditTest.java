package sandpaddle.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Checks how the outage audit counts answers that should not have been given, and the figures of other cache policies.
 */
class OutageAuditTest {
    private static final long US_PER_SECOND = 1_000_000;

    private final OutageAudit audit = new OutageAudit();

    OutageAuditTest() {
        audit.maxAges(Map.of("class", "lookup", "age", "20000"));
        audit.storeLimits(Map.of("bytes", "100000", "fill", "300"));
    }

    private void sent(long timestampUs, String attempt, String tenant, String statement) {
        audit.attemptSent(
                Map.of(
                        "attempt",
                        attempt,
                        "request",
                        "r" + attempt,
                        "class",
                        "lookup",
                        "hall",
                        "hall-c",
                        "tenant",
                        tenant,
                        "statement",
                        statement,
                        "worth",
                        "2",
                        "late",
                        "0.5",
                        "aim",
                        "2000000",
                        "work",
                        "200000"),
                timestampUs);
    }

    private void started(long timestampUs, String attempt, String statement) {
        audit.attemptStarted(Map.of("attempt", attempt, "request", statement), timestampUs);
    }

    private void served(long timestampUs, String attempt, boolean stored, String row) {
        audit.attemptServed(
                new HashMap<>(Map.of("attempt", attempt, "stored", stored ? "1" : "0", "row", row)), timestampUs);
    }

    private Object figure(String name) {
        Map<String, Object> figures = new LinkedHashMap<>();
        audit.figures(figures);
        return figures.get(name);
    }

    /** Records an answer from an engine before the outage, whose statement is requested again during it. */
    private void serveBeforeOutage() {
        sent(US_PER_SECOND, "a", "acme", "d1");
        started(US_PER_SECOND, "a", "d1");
        served(2 * US_PER_SECOND, "a", false, "d1 lookup a");
        audit.zoneCut("hall-c", 10 * US_PER_SECOND);
        audit.isolationDetected(10 * US_PER_SECOND);
    }

    @Test
    void comparesServedWeightWithBaselines() {
        serveBeforeOutage();
        sent(11 * US_PER_SECOND, "b", "acme", "d1");
        served(11 * US_PER_SECOND, "b", true, "d1 lookup a");
        sent(12 * US_PER_SECOND, "c", "acme", "d2");
        audit.zoneRestored(20 * US_PER_SECOND);
        assertEquals(0.5, figure("outageWorthKept"));
        assertEquals(0.5, figure("outageWorthLru"));
        assertEquals(0.0, figure("outageWorthNone"));
        assertEquals(0.5, figure("outageWorthOracle")); // the allowed prefetch work suffices for one statement
        assertEquals(10_000L, figure("staleServedMostMs"));
        assertEquals(20_000L, figure("staleServedBoundMs"));
        assertEquals(0L, figure("foreignServed"));
    }

    @Test
    void discountsLateAnswers() {
        serveBeforeOutage();
        sent(11 * US_PER_SECOND, "b", "acme", "d9");
        started(20 * US_PER_SECOND, "b", "d9");
        served(21 * US_PER_SECOND, "b", false, "d9 lookup b");
        audit.zoneRestored(20 * US_PER_SECOND);
        assertEquals(0.25 * 2, figure("outageWorthKept"));
        assertEquals(0.25 * 2, figure("outageWorthNone"));
    }

    @Test
    void lruExpiresResultsOverMaxAge() {
        serveBeforeOutage();
        sent(22 * US_PER_SECOND, "b", "acme", "d1");
        assertEquals(0.0, figure("outageWorthLru"));
    }

    @Test
    void countsAnswerOfOtherTenantAsForeign() {
        serveBeforeOutage();
        sent(11 * US_PER_SECOND, "b", "borea", "d1");
        served(11 * US_PER_SECOND, "b", true, "d1 lookup a");
        assertEquals(1L, figure("foreignServed"));
    }

    @Test
    void anotherStatementsAnswerIsForeign() {
        serveBeforeOutage();
        sent(11 * US_PER_SECOND, "b", "acme", "d2");
        served(11 * US_PER_SECOND, "b", true, "d1 lookup a");
        assertEquals(1L, figure("foreignServed"));
    }

    @Test
    void anAnswerOfNoRunIsSeen() {
        serveBeforeOutage();
        sent(11 * US_PER_SECOND, "b", "acme", "d1");
        served(11 * US_PER_SECOND, "b", true, "d1 lookup nowhere");
        assertEquals(1L, figure("storedOfNoRun"));
    }

    @Test
    void countsStoredAnswerOlderThanKnownLoad() {
        sent(US_PER_SECOND, "a", "acme", "d1");
        started(US_PER_SECOND, "a", "d1");
        served(2 * US_PER_SECOND, "a", false, "d1 lookup a");
        audit.loadCompleted("d1", 3 * US_PER_SECOND);
        audit.zoneCut("hall-c", 10 * US_PER_SECOND);
        audit.isolationDetected(10 * US_PER_SECOND);
        sent(11 * US_PER_SECOND, "b", "acme", "d1");
        served(11 * US_PER_SECOND, "b", true, "d1 lookup a");
        assertEquals(1L, figure("outdatedServed"));
        assertEquals(0.0, figure("outageWorthLru"), "LRU also knows of the load");
    }

    @Test
    void lruServesNothingBeforeIsolationIsDetected() {
        sent(US_PER_SECOND, "a", "acme", "d1");
        started(US_PER_SECOND, "a", "d1");
        served(2 * US_PER_SECOND, "a", false, "d1 lookup a");
        audit.zoneCut("hall-c", 10 * US_PER_SECOND);
        audit.isolationDetected(13 * US_PER_SECOND);
        sent(11 * US_PER_SECOND, "b", "acme", "d1");
        assertEquals(0.0, figure("outageWorthLru"));
        sent(14 * US_PER_SECOND, "c", "acme", "d1");
        assertEquals(0.5, figure("outageWorthLru"));
    }

    @Test
    void countsLoadServedFromStore() {
        audit.attemptSent(
                Map.of(
                        "attempt",
                        "l",
                        "request",
                        "rl",
                        "class",
                        "load",
                        "hall",
                        "hall-c",
                        "tenant",
                        "acme",
                        "statement",
                        "rl",
                        "worth",
                        "3",
                        "late",
                        "0.6",
                        "aim",
                        "4000000"),
                US_PER_SECOND);
        started(US_PER_SECOND, "x", "rl");
        served(2 * US_PER_SECOND, "l", true, "rl load x");
        assertEquals(1L, figure("loadsFromStore"));
    }
}
