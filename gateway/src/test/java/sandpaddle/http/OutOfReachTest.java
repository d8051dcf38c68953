package sandpaddle.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sandpaddle.net.Loop;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.AttemptOrder;
import sandpaddle.query.EngineSide;

/** Engines that cannot be reached, or seldom: the clock is the test's, the sockets are real. */
public class OutOfReachTest {
    private static final String OK = "HTTP/1.1 200 -\r\nResult-Pages: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n";


    private static final class Hand extends Clock {
        private Instant now = Instant.parse("2026-01-01T00:00:00Z");

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return now;
        }
    }

    private static final class Heard implements EngineSide.Listener {
        private final List<AttemptEnd> ends = new ArrayList<>();
        private int timesOutOfReach;

        @Override
        public void note(String topic, double value) {
        }

        @Override
        public void outOfReach() {
            timesOutOfReach++;
        }

        @Override
        public void ended(AttemptEnd end) {
            ends.add(end);
        }
    }

    private final Hand clock = new Hand();
    private final List<SocketChannel> accepted = new ArrayList<>();
    private final StringBuilder read = new StringBuilder();
    private ServerSocketChannel listening;
    private Loop loop;
    private Engines engines;
    private int traces;

    @BeforeMethod
    public void listen() throws IOException {
        accepted.clear();
        read.setLength(0);
        listening = ServerSocketChannel.open();
        listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        listening.configureBlocking(false);
        loop = new Loop(clock);
        engines = new Engines(loop, Duration.ofMillis(250), Duration.ofSeconds(15), 20);
        engines.listed("e", (InetSocketAddress) listening.getLocalAddress(), Instant.EPOCH, true, false);
    }

    @AfterMethod
    public void close() throws IOException {
        listening.close();
        for (SocketChannel c : accepted) {
            c.close();
        }
    }

    private static boolean hasEnded(SocketChannel c) {
        try {
            return c.read(ByteBuffer.allocate(16)) < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Turns the loop and plays the engine's kernel until something is so. */
    private void until(BooleanSupplier so) throws IOException {
        long most = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (!so.getAsBoolean()) {
            assertTrue(System.nanoTime() < most, "it did not come to that");
            turn();
        }
    }

    private void turn() throws IOException {
        loop.turn(() -> { }, Duration.ofMillis(1));
        SocketChannel next = listening.isOpen() ? listening.accept() : null;
        if (next != null) {
            next.configureBlocking(false);
            accepted.add(next);
        }
        for (SocketChannel c : accepted) {
            ByteBuffer bytes = ByteBuffer.allocate(4096);
            if (c.isOpen() && c.read(bytes) > 0) {
                read.append(StandardCharsets.ISO_8859_1.decode(bytes.flip()));
            }
        }
    }

    /** Lets time pass in steps of 10 ms, with a few turns in each for what the kernel has to tell. */
    private void pass(Duration span) throws IOException {
        Instant end = clock.now.plus(span);
        while (clock.now.isBefore(end)) {
            clock.now = clock.now.plusMillis(10);
            turn();
            turn();
        }
    }

    private EngineSide.Running start(Heard heard) {
        return start(heard, false);
    }

    private EngineSide.Running start(Heard heard, boolean trial) {
        String trace = "00000000000000%02d".formatted(traces++);
        return engines.start("e", new AttemptOrder(trace, "load", new byte[] {'x'}, 0, 1, clock.now.plusSeconds(9),
                true, trial), heard);
    }

    private int posts() {
        return read.toString().split("POST ", -1).length - 1;
    }

    private void answer(int connection) throws IOException {
        accepted.get(connection).write(StandardCharsets.ISO_8859_1.encode(OK));
    }

    /** Guards the price of handshakes: the next query goes where one has just ended, on the same connection. */
    @Test
    public void aConnectionThatWasJustUsedIsWaitedFor() throws Exception {
        for (int i = 1; i <= 5; i++) {
            Heard heard = new Heard();
            start(heard);
            int sent = i;
            pass(Duration.ofMillis(60));
            until(() -> posts() == sent);
            answer(0);
            until(() -> !heard.ends.isEmpty());
        }
        assertEquals(accepted.size(), 1);
    }

    /** The wait is for quiet only: with a copy of the answer behind it, that connection is given up. */
    @Test
    public void whatComesLateEndsTheConnectionThatIsWaitedFor() throws Exception {
        Heard first = new Heard();
        start(first);
        until(() -> posts() == 1);
        answer(0);
        until(() -> !first.ends.isEmpty());
        Heard second = new Heard();
        start(second);
        answer(0);
        pass(Duration.ofMillis(60));
        until(() -> posts() == 2);
        assertEquals(accepted.size(), 2);
        assertEquals(second.ends, List.of());
    }

    /** Guards against two attempts out at once: that an engine cannot be told to stop does not stop it. */
    @Test
    public void whatCannotBeGivenUpIsOutUntilItsEngineHasDroppedIt() throws Exception {
        Heard heard = new Heard();
        EngineSide.Running running = start(heard);
        until(() -> posts() == 1);
        listening.close(); // refuses from now on, as one that is short of connections may
        pass(Duration.ofMillis(300));
        running.cancel(false);
        pass(Duration.ofMillis(1900));
        assertEquals(heard.ends, List.of());
        pass(Duration.ofMillis(200));
        assertEquals(heard.ends, List.of(new AttemptEnd.Cancelled()));
    }

    /** Guards against learning too late: its gateway hears at once that an engine is out of reach, and only once. */
    @Test
    public void anEngineOutOfReachIsToldLongBeforeItsAttemptsEnd() throws Exception {
        Heard heard = new Heard();
        start(heard);
        until(() -> posts() == 1);
        listening.close();
        pass(Duration.ofMillis(700)); // no answer in 600 ms, then no connection
        assertEquals(heard.timesOutOfReach, 1);
        pass(Duration.ofMillis(1500));
        assertEquals(heard.timesOutOfReach, 1);
        assertEquals(heard.ends, List.of());
        pass(Duration.ofMillis(400));
        assertEquals(heard.ends.get(0).getClass(), AttemptEnd.Broken.class);
    }

    /**
     * Guards against a POST into a machine that is cut off, which may yet read it when it is back, and against idle
     * connections of many gateways that fill an engine's table with each trial.
     */
    @Test
    public void aTrialGoesOnAConnectionThatComesUpInPlaceOfIdleOnes() throws Exception {
        Heard first = new Heard();
        start(first);
        until(() -> posts() == 1);
        answer(0);
        until(() -> !first.ends.isEmpty());
        pass(Duration.ofMillis(100));
        Heard trial = new Heard();
        start(trial, true);
        until(() -> posts() == 2);
        assertEquals(accepted.size(), 2);
        assertEquals(trial.ends, List.of());
        until(() -> hasEnded(accepted.get(0)));
    }

    /** Guards a quick second attempt where it is proven: a process that dies resets its connections. */
    @Test
    public void aProcessThatDiedIsKnownAtOnce() throws Exception {
        Heard heard = new Heard();
        start(heard);
        until(() -> posts() == 1);
        listening.close();
        accepted.get(0).close();
        until(() -> !heard.ends.isEmpty());
        assertEquals(heard.ends.get(0).getClass(), AttemptEnd.Broken.class);
    }
}
