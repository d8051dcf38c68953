package sandpaddle.crossing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.Test;
import sandpaddle.app.GracefulShutdown;

/** Commands that are sent before the last one was answered. Rows C1 to C3 of crossings.md. */
public class PipelinedCommandsTest {
    private static final byte[] PING = Caller.packet(0, new byte[] {14});

    private static byte[] times(int count, byte[] packet) {
        byte[] all = new byte[count * packet.length];
        for (int i = 0; i < all.length; i++) {
            all[i] = packet[i % packet.length];
        }
        return all;
    }

    /** C1. Guards the other clients against one that sends thousands of commands at once. */
    @Test
    public void oneThatSendsManyCommandsAtOnceDoesNotKeepTheOthersWaiting() throws Exception {
        try (Crossing x = new Crossing()) {
            x.list("Ready");
            Caller many = x.ready();
            Caller one = x.ready();
            int count = 3000;
            many.write(times(count, PING), 0);
            one.write(PING, 0);
            x.turn();
            x.readPeers();
            assertEquals(one.answers(), List.of("ok"));
            int inOneTurn = many.answers().size();
            assertTrue(inOneTurn > 0 && inOneTurn <= 64, inOneTurn + " were handled in one turn");
            x.until(() -> many.answers().size() == count);
            assertEquals(many.answers(), Collections.nCopies(count, "ok"));
        }
    }

    /** C2. Guards against a request that is answered late since its time was counted from the end of the one before. */
    @Test
    public void theTimeOfARequestBehindAnotherOneCountsFromItsOwnLastByte() throws Exception {
        try (Crossing x = new Crossing()) {
            x.list("Ready");
            Caller c = x.ready();
            byte[] second = Caller.query("again", 2, 1000);
            c.send(Caller.both(Caller.query("once", 1, 800), java.util.Arrays.copyOf(second, 40)));
            x.pass(Duration.ofMillis(300));
            c.send(java.util.Arrays.copyOfRange(second, 40, second.length));
            x.pass(Duration.ofMillis(960)); // the first is over after 800 ms, the second after 1300
            assertEquals(c.answers().size(), 1);
            assertEquals(x.worker.calls("POST"), 2, "the second was sent once the first was over");
            x.pass(Duration.ofMillis(100));
            assertEquals(c.answers().size(), 2, "no answer when its time is up");
            c.send(Caller.both(Caller.query("once", 3, 800), Caller.query("once", 4, 500)));
            x.pass(Duration.ofMillis(900));
            assertEquals(c.answers().subList(2, 4), List.of("1105", "1203"), "the last was over before its turn came");
            x.pass(Duration.ofMillis(2500));
            assertEquals(c.answers().size(), 4);
            assertEquals(x.worker.calls("POST"), 3);
        }
    }

    /** C3. Guards what waits behind an open query when the process ends: it is owed an answer before the kill too. */
    @Test
    public void beforeTheKillWhatWaitsBehindAnotherOneIsAnsweredToo() throws Exception {
        try (Crossing x = new Crossing()) {
            x.list("Ready");
            Caller c = x.ready();
            c.send(Caller.both(
                    Caller.query("once", 1, 15_000),
                    Caller.both(Caller.query("again", 2, 15_000), Caller.query("once", 3, 15_000))));
            x.until(() -> x.worker.calls("POST") == 1);
            x.end.begin();
            x.pass(Duration.ofMillis(3600));
            assertEquals(c.answers(), List.of("1105", "1203", "1203"));
            assertEquals(x.worker.calls("POST"), 1);
            assertEquals(x.end.phase(), GracefulShutdown.ShutdownPhase.TERMINATED);
        }
    }
}
