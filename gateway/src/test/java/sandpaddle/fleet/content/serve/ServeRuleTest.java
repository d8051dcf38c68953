package sandpaddle.fleet.content.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.content.CacheKey;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultMetadata;
import sandpaddle.fleet.content.SampleResults;
import sandpaddle.fleet.content.serve.Decision.Reason;

/** A result requested at 1000 s that may be served, and each condition alone that forbids it. */
class ServeRuleTest {
    private static final long REQUESTED_AT_MS = 1_000_000;
    private static final long MAX_AGE_MS = 3_600_000;

    private final CachedResult result = SampleResults.result(3, REQUESTED_AT_MS, 1, 2);
    private final DataChanges changes = new DataChanges(SampleResults.INCARNATION, 1_000_000);
    private Optional<CachedResult> found = Optional.of(result);
    private boolean isolated = true;
    private boolean idempotent = true;
    private boolean wallTrusted = true;
    private long maxAgeMs = MAX_AGE_MS;
    private long ageMs = 60_000;
    private long wallAgeMs = 60_000;
    private long silenceMs = 30_000;
    private long incarnation = SampleResults.INCARNATION;

    private Decision decide(CacheKey key) {
        long nowUs = (REQUESTED_AT_MS + ageMs) * 1000;
        return ServeRule.decide(
                key,
                idempotent,
                maxAgeMs,
                found,
                new ServeContext(
                        isolated,
                        nowUs,
                        REQUESTED_AT_MS + wallAgeMs,
                        incarnation,
                        wallTrusted,
                        2000,
                        nowUs - silenceMs * 1000,
                        600_000),
                changes);
    }

    private void assertNotServed(Reason reason) {
        assertEquals(new Decision.NotServed(reason), decide(SampleResults.key(3)));
    }

    @Test
    void servesResultWithItsAgeAndUndetectedTime() {
        assertEquals(new Decision.Served(60_000, 30_000, result.rows()), decide(SampleResults.key(3)));
        silenceMs = 90_000;
        assertEquals(new Decision.Served(60_000, 60_000, result.rows()), decide(SampleResults.key(3)));
    }

    @Test
    void rejectsWhileZoneIsNotIsolated() {
        isolated = false;
        assertNotServed(Reason.NOT_ISOLATED);
    }

    @Test
    void rejectsLoad() {
        idempotent = false;
        assertNotServed(Reason.NOT_IDEMPOTENT);
    }

    @Test
    void rejectsMissingResult() {
        found = Optional.empty();
        assertNotServed(Reason.NOT_CACHED);
    }

    @Test
    void rejectsResultOfOtherTenantUserClassOrStatement() {
        byte[] statement = SampleResults.key(3).statement();
        Decision keyMismatch = new Decision.NotServed(Reason.KEY_MISMATCH);
        assertEquals(keyMismatch, decide(new CacheKey("other", "user", "report", statement)));
        assertEquals(keyMismatch, decide(new CacheKey("tenant", "other", "report", statement)));
        assertEquals(keyMismatch, decide(new CacheKey("tenant", "user", "other", statement)));
        assertEquals(keyMismatch, decide(new CacheKey("tenantu", "ser", "report", statement)));
        assertEquals(keyMismatch, decide(SampleResults.key(4)));
    }

    @Test
    void rejectsResultBeyondStoredOrCurrentMaximumAge() {
        ageMs = MAX_AGE_MS + 1;
        assertNotServed(Reason.STALE);
        ageMs = 60_000;
        maxAgeMs = 59_999;
        assertNotServed(Reason.STALE);
    }

    @Test
    void usesLargerAgeOfBothClocks() {
        wallAgeMs = MAX_AGE_MS + 1;
        assertNotServed(Reason.STALE);
        wallAgeMs = -500_000; // set back: within one incarnation monotonic time still applies
        assertEquals(new Decision.Served(60_000, 30_000, result.rows()), decide(SampleResults.key(3)));
        ageMs = MAX_AGE_MS + 1;
        assertNotServed(Reason.STALE);
    }

    @Test
    void servesResultOfEarlierIncarnationOnlyIfWallClockIsTrusted() {
        incarnation = SampleResults.INCARNATION + 1;
        assertEquals(new Decision.Served(62_000, 30_000, result.rows()), decide(SampleResults.key(3)));
        wallAgeMs = MAX_AGE_MS - 1000;
        assertNotServed(Reason.STALE); // the maximum difference between wall clocks is added to the age
        wallAgeMs = 60_000;
        wallTrusted = false;
        assertNotServed(Reason.CLOCK_SET_BACK);
    }

    @Test
    void rejectsAfterTooLongSilence() {
        silenceMs = 600_001;
        assertNotServed(Reason.NO_CONTACT);
    }

    @Test
    void rejectsResultInvalidatedByLoad() {
        changes.recordLoad(4, (REQUESTED_AT_MS + 5000) * 1000, REQUESTED_AT_MS + 5000);
        assertEquals(Decision.Served.class, decide(SampleResults.key(3)).getClass(), "load of another group");
        changes.recordLoad(3, (REQUESTED_AT_MS - 5000) * 1000, REQUESTED_AT_MS - 5000);
        assertEquals(Decision.Served.class, decide(SampleResults.key(3)).getClass(), "load before the request");
        changes.recordLoad(3, (REQUESTED_AT_MS + 5000) * 1000, REQUESTED_AT_MS + 5000);
        assertNotServed(Reason.INVALIDATED);
        changes.recordLoad(3, (REQUESTED_AT_MS - 5000) * 1000, REQUESTED_AT_MS - 5000); // received out of order
        assertNotServed(Reason.INVALIDATED);
    }

    @Test
    void loadOfUnknownGroupInvalidatesAllResults() {
        changes.recordLoadOfUnknownGroups(REQUESTED_AT_MS * 1000, REQUESTED_AT_MS);
        assertNotServed(Reason.INVALIDATED);
    }

    @Test
    void anyLoadInvalidatesResultOfUnknownGroups() {
        ResultMetadata metadata = result.metadata();
        found = Optional.of(new CachedResult(
                new ResultMetadata(
                        metadata.key(),
                        java.util.Set.of(),
                        metadata.requestedAtWallMs(),
                        metadata.requestedAtMonoUs(),
                        metadata.incarnation(),
                        metadata.maxAgeMs(),
                        1),
                result.rows()));
        assertEquals(Decision.Served.class, decide(SampleResults.key(3)).getClass());
        changes.recordLoad(99, (REQUESTED_AT_MS + 1) * 1000, REQUESTED_AT_MS + 1);
        assertNotServed(Reason.INVALIDATED);
    }

    @Test
    void restoresLoadsAfterRestart() throws Exception {
        changes.recordLoad(3, (REQUESTED_AT_MS + 5000) * 1000, REQUESTED_AT_MS + 5000);
        changes.recordLoad(4, (REQUESTED_AT_MS - 90_000) * 1000, REQUESTED_AT_MS - 90_000);
        DataChanges next = new DataChanges(SampleResults.INCARNATION + 1, 1_000_000);
        next.restore(changes.export());
        ResultMetadata invalidated = result.metadata();
        assertEquals(true, next.invalidates(invalidated));
        assertEquals(
                false,
                next.invalidates(SampleResults.result(4, REQUESTED_AT_MS, 1, 1).metadata()));
    }

    @Test
    void droppedGroupInvalidatesResultsOfAllGroups() {
        changes.recordLoad(3, (REQUESTED_AT_MS + 1) * 1000, REQUESTED_AT_MS + 1);
        for (int g = 100; g < 100 + DataChanges.MAX_GROUPS; g++) {
            changes.recordLoad(g, (REQUESTED_AT_MS + 10) * 1000, REQUESTED_AT_MS + 10);
        }
        assertNotServed(Reason.INVALIDATED);
        assertEquals(
                true,
                changes.invalidates(
                        SampleResults.result(4, REQUESTED_AT_MS, 1, 1).metadata()));
        assertEquals(
                false,
                changes.invalidates(
                        SampleResults.result(4, REQUESTED_AT_MS + 20_000, 1, 1).metadata()));
    }

    @Test
    void spreadsRetryAfterFromExpectedReturn() {
        OutageRetryAfter retryAfter = new OutageRetryAfter(100, 60_000, 10_000);
        assertEquals(30_000, retryAfter.retryAfterMs(0, 30_000, 0));
        assertEquals(35_000, retryAfter.retryAfterMs(0, 30_000, 0.5));
        assertEquals(100, retryAfter.retryAfterMs(50_000, 30_000, 0));
        assertEquals(60_000, retryAfter.retryAfterMs(0, 55_000, 0.9));
        assertEquals(30_000, retryAfter.retryAfterMs(0, 3_600_000, 0));
        assertEquals(45_000, retryAfter.retryAfterMs(0, 3_600_000, 0.5));
    }
}
