package sandpaddle.fleet.node.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.pool.ActivePolicy;
import sandpaddle.fleet.pool.PolicyVersion;
import sandpaddle.fleet.pool.PoolPolicyCheck;
import sandpaddle.fleet.pool.model.KnownNames;

/** What is told of statements that this version does not carry out. */
class UnsupportedStatementsTest {
    private static List<String> lines(String statements) {
        String text = "policy \"p\" version 1\nbudget fleet 400 connections\n" + statements;
        PoolPolicyCheck check = PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
        assertEquals(List.of(), check.errors());
        ActivePolicy activePolicy = new ActivePolicy();
        activePolicy.add(check);
        activePolicy.commit(new PolicyVersion(1, check.hash()));
        return UnsupportedStatements.notes(activePolicy.policy().orElseThrow()).stream()
                .map(n -> n.substring(0, n.indexOf(':')))
                .toList();
    }

    @Test
    void conditionsThatNeverHoldAreNamedByLine() {
        assertEquals(List.of("line 4", "line 5", "line 6", "line 7"), lines("""
                when calm tenant "a" ceiling 90
                class "dashboards" weight 2
                when storm tenant "a" ceiling 50
                when outage of hall "ship" within 15 min hall "ship" floor 20
                when outage of hall "ship" lasts hall "ship" ceiling 1
                when condemned engines over 30 percent budget fleet 300 connections
                """));
    }

    @Test
    void nothingIsSaidOfWhatIsCarriedOut() {
        assertEquals(List.of(), lines("""
                tenant "a" weight 2 floor 3
                when time 22:00 to 06:00 tenant "a" weight 4
                """));
    }

    @Test
    void threeLinesAtMostOfOneReason() {
        assertEquals(3, lines("""
                when storm tenant "a" ceiling 50
                when storm tenant "b" ceiling 50
                when recovery tenant "c" ceiling 50
                when recovery tenant "d" ceiling 50
                """).size());
    }
}
