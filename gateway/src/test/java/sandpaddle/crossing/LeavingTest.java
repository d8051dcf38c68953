package sandpaddle.crossing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** A client that has gone: no attempt begins for it, wherever the turn stood. Rows L1 to L11 of crossings.md. */
public class LeavingTest {

    /** Leaves an idle connection to the engine, on which an attempt is written at once. */
    private static void warm(Crossing x) throws java.io.IOException {
        Caller warm = x.ready();
        warm.send(Caller.query("once", 9, 5000));
        x.until(() -> x.worker.calls("POST") == 1);
        x.worker.answer("POST", Worker.ROWS);
        x.until(() -> warm.answers().equals(java.util.List.of("rows")));
        x.clock.pass(Duration.ofMillis(100));
    }

    /** L1. Guards against a client that cannot be seen to go, since what it sent ahead was left unread. */
    @Test
    public void anEndBehindWhatWasSentAheadIsSeenWhileTheQueryWaits() throws Exception {
        try (Crossing x = new Crossing()) {
            Caller c = x.ready();
            c.send(Caller.query("again", 1, 5000));
            x.until(() -> !x.dispatcher.isIdle());
            for (int i = 0; i < 40; i++) {
                c.send(Caller.query("x".repeat(10_000)));
                x.turn();
            }
            c.halfClose();
            x.settle();
            assertTrue(x.dispatcher.isIdle(), "it waits still for one who has gone");
            x.list("Ready");
            x.settle();
            assertEquals(x.worker.calls("POST"), 0);
        }
    }

    /** L2. Guards against an attempt for a request whose end was there with it. */
    @Test
    public void aRequestThatComesWithItsEndIsNotSent() throws Exception {
        for (boolean half : new boolean[] {true, false}) {
            try (Crossing x = new Crossing()) {
                x.list("Ready");
                Caller c = x.ready();
                c.write(Caller.query("once", 1, 5000), 0);
                if (half) {
                    c.halfClose();
                } else {
                    c.leave();
                }
                x.settle();
                assertEquals(x.worker.calls("POST"), 0);
                assertTrue(x.dispatcher.isIdle());
            }
        }
    }

    /** L3. Guards against a long turn: the client goes after it was read and before the attempt is written. */
    @Test
    public void aClientThatGoesWithinTheTurnIsNotSentFor() throws Exception {
        try (Crossing x = new Crossing()) {
            x.list("Ready");
            warm(x);
            Caller c = x.ready();
            c.write(Caller.query("once", 1, 5000), 0);
            x.turn(c::leave);
            x.settle();
            assertEquals(x.worker.calls("POST"), 0);
            assertEquals(x.worker.connections(), 1);
            assertTrue(x.dispatcher.isIdle());
        }
    }

    /** L4. Guards against an attempt that begins in the instant in which its connection is up and its client goes. */
    @Test
    public void aClientThatGoesWhileTheConnectionComesUpIsNotSentFor() throws Exception {
        try (Crossing x = new Crossing()) {
            x.list("Ready");
            Caller c = x.ready();
            c.write(Caller.query("once", 1, 5000), 0);
            x.turn(); // the connection is opened in this turn, and heard to be up in the next
            c.leave();
            x.settle();
            assertEquals(x.worker.connections(), 1);
            assertEquals(x.worker.calls("POST"), 0);
            assertTrue(x.dispatcher.isIdle());
        }
    }

    /** L5. The same for KILL, which comes on another connection, unasked for and with its login. */
    @Test
    public void aKillThatComesWhileTheConnectionComesUpIsHeardFirst() throws Exception {
        try (Crossing x = new Crossing()) {
            x.list("Ready");
            Caller c = x.ready();
            c.write(Caller.query("once", 1, 5000), 0);
            x.turn();
            Caller killer = x.opened();
            killer.send(Caller.both(Caller.login(), Caller.query("KILL QUERY " + c.id())));
            x.settle();
            assertEquals(killer.answers(), java.util.List.of("ok"));
            assertEquals(c.answers(), java.util.List.of("1317"));
            assertEquals(x.worker.calls("POST"), 0);
        }
    }

    /** L10. Guards against a KILL that is read before the query which came before it, on a connection of its own. */
    @Test
    public void aKillEndsTheQueryThatCameBeforeItThoughItIsReadFirst() throws Exception {
        try (Crossing x = new Crossing()) {
            Caller c = x.ready();
            Caller killer = x.opened();
            x.atConnection = () -> { // clients have been read in this turn, and the killer's connection is taken
                c.write(Caller.query("once", 1, 5000), 0);
                killer.write(Caller.both(Caller.login(), Caller.query("KILL QUERY " + c.id())), 0);
            };
            x.settle();
            assertEquals(killer.answers(), java.util.List.of("ok"));
            x.list("Ready");
            x.settle();
            assertEquals(x.worker.calls("POST"), 0);
            assertEquals(c.answers(), java.util.List.of("1317"));
        }
    }

    /** L11. Guards against a long turn: a KILL that has waited in it is heard before the attempt is written. */
    @Test
    public void aKillThatWaitsInALongTurnIsHeardBeforeTheAttemptIsWritten() throws Exception {
        for (boolean taken : new boolean[] {false, true}) {
            try (Crossing x = new Crossing()) {
                x.list("Ready");
                warm(x);
                Caller c = x.ready();
                Caller killer = x.opened();
                if (taken) { // its session is open, and the KILL comes later
                    x.until(() -> killer.packets().size() == 1);
                }
                c.write(Caller.query("once", 1, 5000), 0);
                x.turn(() -> {
                    killer.write(Caller.both(Caller.login(), Caller.query("KILL QUERY " + c.id())), 0);
                    x.clock.pass(Duration.ofMillis(110));
                });
                x.settle();
                assertEquals(killer.answers(), java.util.List.of("ok"));
                assertEquals(c.answers(), java.util.List.of("1317"));
                assertEquals(x.worker.calls("POST"), 0, "it began more than 0.1 s after the cancel");
            }
        }
    }

    /** L6. Guards against a drain that is told in the turn in which a connection comes up. */
    @Test
    public void whatTheListForbidsIsNotBegunThoughItsConnectionIsUp() throws Exception {
        try (Crossing x = new Crossing()) {
            x.list("Ready");
            Caller c = x.ready();
            c.write(Caller.query("once", 1, 5000), 0);
            x.turn();
            x.list("Terminating");
            x.settle();
            assertEquals(x.worker.connections(), 1);
            assertEquals(x.worker.calls("POST"), 0);
            x.list("Gone");
        }
    }

    /** L7. Guards against a burst of departures: all are heard in the turn, whatever else is ready. */
    @Test
    public void aBurstOfDeparturesEmptiesTheQueue() throws Exception {
        try (Crossing x = new Crossing()) {
            Caller[] all = new Caller[Crossing.MOST_SESSIONS];
            for (int i = 0; i < all.length; i++) {
                all[i] = x.ready();
                all[i].send(Caller.query("again", 1 + i, 5000));
            }
            x.settle();
            for (Caller c : all) {
                c.leave();
            }
            x.list("Ready");
            x.turn();
            assertTrue(x.dispatcher.isIdle());
            x.settle();
            assertEquals(x.worker.calls("POST"), 0);
        }
    }

    /** L8. What was thrown away cannot be answered: the session ends after the answer that was owed. */
    @Test
    public void whoSendsTooMuchAheadHasHisAnswerAndIsToldWhyItEnds() throws Exception {
        try (Crossing x = new Crossing()) {
            x.list("Ready");
            Caller c = x.ready();
            c.send(Caller.query("once", 1, 5000));
            x.until(() -> x.worker.calls("POST") == 1);
            for (int i = 0; i < 40; i++) {
                c.send(Caller.query("x".repeat(10_000)));
                x.turn();
            }
            x.worker.answer("POST", Worker.ROWS);
            x.until(c::isEnded);
            assertEquals(c.answers(), java.util.List.of("rows", "1153"));
            assertTrue(!c.isReset(), "it was reset over its answer");
        }
    }
}
