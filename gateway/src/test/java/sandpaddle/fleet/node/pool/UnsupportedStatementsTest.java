package sandpaddle.fleet.node.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.pool.ActivePolicy;
import sandpaddle.fleet.pool.PolicyVersion;
import sandpaddle.fleet.pool.PoolPolicyCheck;
import sandpaddle.fleet.pool.model.KnownNames;

/** {@link UnsupportedStatements}: which lines of a policy it warns of. */
class UnsupportedStatementsTest {
    private static List<String> warnedLines(String statements) {
        String text = "policy \"p\" version 1\nbudget fleet 400 connections\n" + statements;
        PoolPolicyCheck check = PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
        assertEquals(List.of(), check.errors());
        ActivePolicy activePolicy = new ActivePolicy();
        activePolicy.add(check);
        activePolicy.commit(new PolicyVersion(1, check.hash()));
        return UnsupportedStatements.warnings(activePolicy.policy().orElseThrow()).stream()
                .map(warning -> warning.substring(0, warning.indexOf(':')))
                .toList();
    }

    @Test
    void warnsOfConditionsThatNeverHold() {
        assertEquals(List.of("line 4", "line 5", "line 6", "line 7"), warnedLines("""
                when calm tenant "a" ceiling 90
                class "dashboards" weight 2
                when storm tenant "a" ceiling 50
                when outage of hall "ship" within 15 min hall "ship" floor 20
                when outage of hall "ship" lasts hall "ship" ceiling 1
                when condemned engines over 30 percent budget fleet 300 connections
                """));
    }

    @Test
    void doesNotWarnOfSupportedStatements() {
        assertEquals(List.of(), warnedLines("""
                tenant "a" weight 2 floor 3
                when time 22:00 to 06:00 tenant "a" weight 4
                """));
    }

    @Test
    void warnsOfThreeLinesPerReason() {
        assertEquals(3, warnedLines("""
                when storm tenant "a" ceiling 50
                when storm tenant "b" ceiling 50
                when recovery tenant "c" ceiling 50
                when recovery tenant "d" ceiling 50
                """).size());
    }
}
