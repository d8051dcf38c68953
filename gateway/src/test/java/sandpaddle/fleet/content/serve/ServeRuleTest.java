package sandpaddle.fleet.content.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.content.AnswerMetadata;
import sandpaddle.fleet.content.ContentKey;
import sandpaddle.fleet.content.Stored;
import sandpaddle.fleet.content.StoredAnswer;
import sandpaddle.fleet.content.serve.Decision.Reason;

/** One answer, asked for at 1,000 s, that may be handed out; then each thing that forbids it, alone. */
class ServeRuleTest {
    private static final long ASKED = 1_000_000;
    private static final long MAX_AGE = 3_600_000;

    private final StoredAnswer answer = Stored.answer(3, ASKED, 1, 2);
    private final DataChanges changes = new DataChanges(Stored.PROCESS, 1_000_000);
    private Optional<StoredAnswer> found = Optional.of(answer);
    private boolean isolated = true;
    private boolean repeatable = true;
    private boolean wallTrusted = true;
    private long maxAge = MAX_AGE;
    private long ageMs = 60_000;
    private long wallAgeMs = 60_000;
    private long unheardMs = 30_000;
    private long process = Stored.PROCESS;

    private Decision decide(ContentKey key) {
        long now = (ASKED + ageMs) * 1000;
        return ServeRule.decide(
                key,
                repeatable,
                maxAge,
                found,
                new ServeContext(
                        isolated, now, ASKED + wallAgeMs, process, wallTrusted, 2000, now - unheardMs * 1000, 600_000),
                changes);
    }

    private void refuses(Reason reason) {
        assertEquals(new Decision.Not(reason), decide(Stored.key(3)));
    }

    @Test
    void servesWithItsAgeAndWhatCannotBeKnown() {
        assertEquals(new Decision.Stored(60_000, 30_000, answer.rows()), decide(Stored.key(3)));
        unheardMs = 90_000;
        assertEquals(new Decision.Stored(60_000, 60_000, answer.rows()), decide(Stored.key(3)));
    }

    @Test
    void notWhileTheZoneReachesItsEngines() {
        isolated = false;
        refuses(Reason.NOT_ISOLATED);
    }

    @Test
    void neverALoad() {
        repeatable = false;
        refuses(Reason.NOT_REPEATABLE);
    }

    @Test
    void notWhatIsNotThere() {
        found = Optional.empty();
        refuses(Reason.ABSENT);
    }

    @Test
    void neverAnothersTenantUserClassOrStatement() {
        byte[] statement = Stored.key(3).statement();
        Decision foreign = new Decision.Not(Reason.FOREIGN);
        assertEquals(foreign, decide(new ContentKey("other", "user", "report", statement)));
        assertEquals(foreign, decide(new ContentKey("tenant", "other", "report", statement)));
        assertEquals(foreign, decide(new ContentKey("tenant", "user", "other", statement)));
        assertEquals(foreign, decide(new ContentKey("tenantu", "ser", "report", statement)));
        assertEquals(foreign, decide(Stored.key(4)));
    }

    @Test
    void notBeyondTheAgeOfItsClassThenOrNow() {
        ageMs = MAX_AGE + 1;
        refuses(Reason.STALE);
        ageMs = 60_000;
        maxAge = 59_999;
        refuses(Reason.STALE);
    }

    @Test
    void ofBothClocksTheOneThatSaysOlderCounts() {
        wallAgeMs = MAX_AGE + 1;
        refuses(Reason.STALE);
        wallAgeMs = -500_000; // set back: within one process monotonic time still tells
        assertEquals(new Decision.Stored(60_000, 30_000, answer.rows()), decide(Stored.key(3)));
        ageMs = MAX_AGE + 1;
        refuses(Reason.STALE);
    }

    @Test
    void afterARestartOnlyByAWallClockThatWasNotSetBack() {
        process = Stored.PROCESS + 1;
        assertEquals(new Decision.Stored(62_000, 30_000, answer.rows()), decide(Stored.key(3)));
        wallAgeMs = MAX_AGE - 1000;
        refuses(Reason.STALE); // what clocks of gateways may differ is added
        wallAgeMs = 60_000;
        wallTrusted = false;
        refuses(Reason.CLOCK);
    }

    @Test
    void notOnceNothingWasHeardForTooLong() {
        unheardMs = 600_001;
        refuses(Reason.UNHEARD);
    }

    @Test
    void notWhatALoadHasOutdated() {
        changes.changed(4, (ASKED + 5000) * 1000, ASKED + 5000);
        assertEquals(Decision.Stored.class, decide(Stored.key(3)).getClass(), "another group's load");
        changes.changed(3, (ASKED - 5000) * 1000, ASKED - 5000);
        assertEquals(Decision.Stored.class, decide(Stored.key(3)).getClass(), "a load before it was asked for");
        changes.changed(3, (ASKED + 5000) * 1000, ASKED + 5000);
        refuses(Reason.OUTDATED);
        changes.changed(3, (ASKED - 5000) * 1000, ASKED - 5000); // heard late
        refuses(Reason.OUTDATED);
    }

    @Test
    void aLoadOfUnknownGroupOutdatesAll() {
        changes.changedUnknown(ASKED * 1000, ASKED);
        refuses(Reason.OUTDATED);
    }

    @Test
    void anAnswerOfUnknownGroupsIsOutdatedByAnyLoad() {
        AnswerMetadata m = answer.meta();
        found = Optional.of(new StoredAnswer(
                new AnswerMetadata(
                        m.key(), java.util.Set.of(), m.askedWall(), m.askedMono(), m.incarnation(), m.maxAgeMs(), 1),
                answer.rows()));
        assertEquals(Decision.Stored.class, decide(Stored.key(3)).getClass());
        changes.changed(99, (ASKED + 1) * 1000, ASKED + 1);
        refuses(Reason.OUTDATED);
    }

    @Test
    void changesOutliveARestart() throws Exception {
        changes.changed(3, (ASKED + 5000) * 1000, ASKED + 5000);
        changes.changed(4, (ASKED - 90_000) * 1000, ASKED - 90_000);
        DataChanges next = new DataChanges(Stored.PROCESS + 1, 1_000_000);
        next.take(changes.export());
        AnswerMetadata three = answer.meta();
        assertEquals(true, next.outdates(three));
        assertEquals(false, next.outdates(Stored.answer(4, ASKED, 1, 1).meta()));
    }

    @Test
    void whatIsForgottenOutdatesMoreAndNeverLess() {
        changes.changed(3, (ASKED + 1) * 1000, ASKED + 1);
        for (int g = 100; g < 100 + DataChanges.MAX_GROUPS; g++) {
            changes.changed(g, (ASKED + 10) * 1000, ASKED + 10);
        }
        refuses(Reason.OUTDATED);
        assertEquals(true, changes.outdates(Stored.answer(4, ASKED, 1, 1).meta()));
        assertEquals(
                false, changes.outdates(Stored.answer(4, ASKED + 20_000, 1, 1).meta()));
    }

    @Test
    void pausesLeadToTheReturnAndAreSpread() {
        RefusalPause pauses = new RefusalPause(100, 60_000, 10_000);
        assertEquals(30_000, pauses.pause(0, 30_000, 0));
        assertEquals(35_000, pauses.pause(0, 30_000, 0.5));
        assertEquals(100, pauses.pause(50_000, 30_000, 0));
        assertEquals(60_000, pauses.pause(0, 55_000, 0.9));
        assertEquals(30_000, pauses.pause(0, 3_600_000, 0));
        assertEquals(45_000, pauses.pause(0, 3_600_000, 0.5));
    }
}
