package sandpaddle.eventloop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** {@link InputScheduler}, in virtual time. */
public class InputSchedulerTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int READ_BYTES = 64 * 1024;

    private final InputScheduler scheduler = new InputScheduler(START);

    /** Guards usual clients: one within its allowance proceeds although the others have used up the turn. */
    @Test
    public void clientWithinItsAllowanceProceedsInEveryTurn() {
        scheduler.beginTurn(START);
        InputScheduler.Account crowd = scheduler.open();
        InputScheduler.Account usual = scheduler.open();
        while (crowd.mayRead()) {
            crowd.charge(READ_BYTES);
        }
        usual.charge(InputScheduler.COMMAND_COST + 200);
        assertTrue(usual.mayHandle(InputScheduler.COMMAND_COST + 200));
        assertTrue(usual.compareTo(crowd) < 0);
    }

    /** Guards the crowd itself: each of those beyond their allowance has its turn, also if some send without pause. */
    @Test
    public void clientsBeyondTheirAllowanceTakeTurns() {
        SplittableRandom random = new SplittableRandom(55);
        List<InputScheduler.Account> accounts = new ArrayList<>();
        int[] handledIn = new int[100];
        for (int i = 0; i < handledIn.length; i++) {
            accounts.add(scheduler.open());
        }
        List<InputScheduler.Account> order = new ArrayList<>(accounts);
        for (int turn = 1; turn <= 200; turn++) {
            scheduler.beginTurn(START.plusMillis(turn));
            order.sort(null);
            int cost = 0;
            for (InputScheduler.Account account : order) {
                if (account.mayRead()) {
                    int bytes = random.nextInt(READ_BYTES / 2, READ_BYTES);
                    account.charge(bytes);
                    cost += bytes;
                    handledIn[accounts.indexOf(account)]++;
                }
            }
            int first = turn == 1 ? handledIn.length * READ_BYTES : 0; // each is within its allowance once
            assertTrue(cost <= InputScheduler.MAX_TURN_COST + READ_BYTES + first, "turn " + turn + " cost " + cost);
        }
        for (int count : handledIn) {
            assertTrue(count >= 8, "handled in " + count + " of 200 turns");
        }
    }

    /** Guards usual clients of a busy loop: the time of turns shorter than a millisecond must count too. */
    @Test
    public void recentCostDecreasesThroughShortTurns() {
        scheduler.beginTurn(START);
        InputScheduler.Account account = scheduler.open();
        account.charge(InputScheduler.ALLOWANCE);
        for (int i = 1; i <= 1_000; i++) {
            scheduler.beginTurn(START.plus(Duration.ofNanos(100_000L * i)));
            account.mayRead();
        }
        assertEquals(account.maxReadBytes(), 6_000, 400);
    }

    /** Guards a client that has sent much once: it is among the usual ones again after some time. */
    @Test
    public void recentCostIsForgotten() {
        scheduler.beginTurn(START);
        InputScheduler.Account account = scheduler.open();
        InputScheduler.Account other = scheduler.open();
        account.charge(Integer.MAX_VALUE / 2);
        other.charge(InputScheduler.MAX_TURN_COST * 2);
        assertFalse(account.mayRead());
        assertEquals(account.maxReadBytes(), InputScheduler.PROBE_BYTES);
        scheduler.beginTurn(START.plus(Duration.ofSeconds(17)));
        other.charge(InputScheduler.MAX_TURN_COST * 2);
        assertTrue(account.mayRead());
        assertEquals(account.maxReadBytes(), InputScheduler.ALLOWANCE);
    }
}
