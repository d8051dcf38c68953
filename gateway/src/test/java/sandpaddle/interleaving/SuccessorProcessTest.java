package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.testng.annotations.Test;
import sandpaddle.mysql.MysqlFrontend;

/** A gateway at the address of one that has gone. Row N5 of docs/design/crossings.md. */
public class SuccessorProcessTest {
    private static final Instant START = Instant.parse("2026-12-05T10:00:00Z");
    private static final int MAX_KILL_ID = 999_999_999;

    /** Guards the query of another client: a KILL meant for a connection of the earlier process ended it. */
    @Test
    public void killOfAConnectionOfTheEarlierProcessEndsNoQuery() throws Exception {
        int killedId;
        try (GatewayFixture earlier = new GatewayFixture(GatewayFixture.MAX_SESSIONS, START)) {
            killedId = earlier.logInClient().connectionId();
        }
        try (GatewayFixture successor = new GatewayFixture(GatewayFixture.MAX_SESSIONS, START.plusSeconds(1))) {
            successor.updateEndpointList("Ready");
            ScriptedClient other = successor.logInClient();
            other.send(ScriptedClient.query("again", 1, 1000));
            successor.runUntil(() -> successor.engine.callCount("POST") == 1);
            ScriptedClient killer = successor.logInClient();
            killer.send(ScriptedClient.query("KILL QUERY " + killedId));
            successor.settle();
            assertEquals(killer.answers(), List.of("1094"));
            assertEquals(other.answers(), List.of());
            successor.engine.respond("POST", ScriptedEngine.ROWS);
            successor.runUntil(() -> other.answers().equals(List.of("rows")));
        }
    }

    /** Guards KILL itself: it takes ids of up to nine digits. */
    @Test
    public void firstIdLeavesRoomForManyConnections() {
        for (long ms = 0; ms < 1_000_000_000L; ms += 7_654_321) {
            int first = MysqlFrontend.firstConnectionId(Instant.ofEpochMilli(ms));
            assertTrue(first > 0 && first <= MAX_KILL_ID / 2 + 1, "first id " + first + " at " + ms);
        }
    }
}
