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
    private static PoolPolicyCheck checkedPolicy(String name, String rest) {
        String text = "policy \"" + name + "\" version 1\nbudget fleet 9 connections\n" + rest;
        return PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
    }

    private final PoolPolicyCheck first = checkedPolicy("first", "");
    private final PoolPolicyCheck newer = checkedPolicy("newer", "words of a later language\n");
    private final ActivePolicy activePolicy = new ActivePolicy();

    @Test
    void keepsLastReadablePolicyWhenCommittedVersionIsUnreadable() {
        assertEquals(Status.NONE, activePolicy.status());
        activePolicy.add(first);
        activePolicy.commit(new PolicyVersion(1, first.hash()));
        assertEquals(Status.APPLIED, activePolicy.status());
        activePolicy.commit(new PolicyVersion(2, newer.hash()));
        assertEquals(Status.MISSING, activePolicy.status());
        activePolicy.add(newer);
        assertEquals(Status.UNREADABLE, activePolicy.status());
        assertEquals(Optional.of("first"), activePolicy.policy().map(Policy::name));
        assertEquals(1, activePolicy.applied().orElseThrow().epoch());
        assertEquals(2, activePolicy.committed().orElseThrow().epoch());
    }

    @Test
    void ignoresCommitWithOlderEpoch() {
        activePolicy.add(first);
        activePolicy.commit(new PolicyVersion(5, first.hash()));
        activePolicy.commit(new PolicyVersion(4, newer.hash()));
        assertEquals(Status.APPLIED, activePolicy.status());
        assertEquals(5, activePolicy.committed().orElseThrow().epoch());
    }

    @Test
    void retainsCommittedTextWhenOtherTextsAreEvicted() {
        activePolicy.add(first);
        activePolicy.commit(new PolicyVersion(1, first.hash()));
        for (int i = 0; i < 9; i++) {
            activePolicy.add(checkedPolicy("other" + i, ""));
        }
        activePolicy.commit(new PolicyVersion(2, first.hash()));
        assertEquals(Status.APPLIED, activePolicy.status());
        activePolicy.commit(new PolicyVersion(3, checkedPolicy("other0", "").hash()));
        assertEquals(Status.MISSING, activePolicy.status(), "the text must have been evicted");
    }

    @Test
    void rejectsInvalidHashAndEpoch() {
        assertThrows(IllegalArgumentException.class, () -> new PolicyHash("no hash"));
        assertThrows(IllegalArgumentException.class, () -> new PolicyVersion(0, first.hash()));
    }
}
