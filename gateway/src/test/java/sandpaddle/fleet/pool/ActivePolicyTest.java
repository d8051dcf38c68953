package sandpaddle.fleet.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.pool.ActivePolicy.Status;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Policy;

class ActivePolicyTest {
    private static PoolPolicyCheck policy(String name, String rest) {
        String text = "policy \"" + name + "\" version 1\nbudget fleet 9 connections\n" + rest;
        return PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
    }

    private final PoolPolicyCheck first = policy("first", "");
    private final PoolPolicyCheck newer = policy("newer", "words of a later language\n");
    private final ActivePolicy activePolicy = new ActivePolicy();

    @Test
    void oneThatCannotReadSaysSoAndKeepsWhatItCouldRead() {
        assertEquals(Status.NONE, activePolicy.standing());
        activePolicy.read(first);
        activePolicy.agreed(new PolicyVersion(1, first.version()));
        assertEquals(Status.APPLIES, activePolicy.standing());
        activePolicy.agreed(new PolicyVersion(2, newer.version()));
        assertEquals(Status.MISSING, activePolicy.standing());
        activePolicy.read(newer);
        assertEquals(Status.UNREADABLE, activePolicy.standing());
        assertEquals(Optional.of("first"), activePolicy.policy().map(Policy::name));
        assertEquals(1, activePolicy.applied().orElseThrow().epoch());
        assertEquals(2, activePolicy.ruling().orElseThrow().epoch());
    }

    @Test
    void theGreatestEpochRulesWhateverComesLate() {
        activePolicy.read(first);
        activePolicy.agreed(new PolicyVersion(5, first.version()));
        activePolicy.agreed(new PolicyVersion(4, newer.version()));
        assertEquals(Status.APPLIES, activePolicy.standing());
        assertEquals(5, activePolicy.ruling().orElseThrow().epoch());
    }

    @Test
    void theRulingTextIsNotForgottenForOthers() {
        activePolicy.read(first);
        activePolicy.agreed(new PolicyVersion(1, first.version()));
        for (int i = 0; i < 9; i++) {
            activePolicy.read(policy("other" + i, ""));
        }
        activePolicy.agreed(new PolicyVersion(2, first.version()));
        assertEquals(Status.APPLIES, activePolicy.standing());
        activePolicy.agreed(new PolicyVersion(3, policy("other0", "").version()));
        assertEquals(Status.MISSING, activePolicy.standing(), "only a few are kept");
    }

    @Test
    void versionsAreCheckedWhereTheyComeFromElsewhere() {
        assertThrows(IllegalArgumentException.class, () -> new PolicyHash("no hash"));
        assertThrows(IllegalArgumentException.class, () -> new PolicyVersion(0, first.version()));
    }
}
