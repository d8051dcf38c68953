package sandpaddle.eventloop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.tinylog.Logger;

/**
 * A single-threaded event loop around one selector. Each iteration, called a turn, waits until a channel is ready or
 * a timer is due, runs the handlers of ready channels in the order of their {@link HandlerPriority}, those of clients
 * in the order of {@link InputScheduler}, then the due timers, and finally the task given to {@link #run}. An
 * exception thrown by a handler or task is logged and does not affect the others.
 *
 * <p>All methods except {@link #wakeup} are confined to the loop's thread. {@link #now} is constant during a turn.
 */
public final class EventLoop implements Scheduler {
    /**
     * The order of handlers in a turn. Events that forbid or cancel an attempt (the endpoint list, then a disconnect or
     * a cancel by a client) are handled before a connection to an engine is established and the attempt is written.
     */
    public enum HandlerPriority {
        ENDPOINT_LIST,
        CLIENT,
        LISTENER,
        ENGINE
    }

    /** Handles the readiness of one channel. */
    public interface ChannelHandler {
        /** The position among the handlers of a turn. */
        HandlerPriority priority();

        /** The account of the client's input, which orders the handlers of clients; null for other channels. */
        default InputScheduler.Account inputAccount() {
            return null;
        }

        /** Called when the channel is ready for an operation that it is registered for. */
        void onReady(SelectionKey key) throws IOException;

        /** Called with an exception that {@link #onReady} threw; must not affect other channels. */
        void onFailure(Exception cause);
    }

    /** A part of a turn: a ready channel, or input that an earlier turn has deferred. */
    private record TurnStep(HandlerPriority priority, InputScheduler.Account account, Runnable task)
            implements Comparable<TurnStep> {
        @Override
        public int compareTo(TurnStep other) {
            int byPriority = priority.compareTo(other.priority);
            return byPriority != 0 || account == null || other.account == null
                    ? byPriority
                    : account.compareTo(other.account);
        }
    }

    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final int READ_AVAILABLE_BUFFER_BYTES = 16 * 1024;

    /** Number of closed channels that triggers a select, since a closed channel keeps its descriptor until then. */
    private static final int MAX_CLOSED_CHANNELS = 6;

    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    /**
     * Limit on how far {@link #readableSince} is before {@link #now}. Bytes that are readable when a turn begins
     * arrived since the last turn began, at a time that is not known.
     */
    private static final Duration MAX_READABLE_AGE = Duration.ofMillis(100);

    private static final long NS_PER_US = 1000;
    private static final long US_PER_MS = 1000;

    private final Selector selector;
    private final MonotonicTimeSource clock;
    private final TimerQueue timers = new TimerQueue();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final ByteBuffer readAvailableBuffer = ByteBuffer.allocateDirect(READ_AVAILABLE_BUFFER_BYTES);
    private Instant now;
    private Instant readableSince;
    private final InputScheduler inputScheduler;
    private List<TurnStep> deferredInput = new ArrayList<>();
    private long turn;
    private boolean turnRequested;
    private boolean stopped;
    private int closedChannels; // since the last select

    /** Opens the selector of a loop that runs in real time. */
    public EventLoop() throws IOException {
        this(MonotonicTimeSource.system());
    }

    /** Opens the selector; the time is read from {@code clock}. */
    public EventLoop(MonotonicTimeSource clock) throws IOException {
        selector = Selector.open();
        this.clock = clock;
        now = clock.instant();
        readableSince = now;
        inputScheduler = new InputScheduler(now);
    }

    // ---- Time.

    @Override
    public Instant now() {
        return now;
    }

    /** The current time of the clock, which advances during a turn. */
    public Instant currentTime() {
        return clock.instant();
    }

    /**
     * The earliest time at which the bytes that are read in this turn may have been readable. The timeout of a request
     * counts from its arrival, which after a long turn may be before {@link #now()}.
     */
    public Instant readableSince() {
        return readableSince;
    }

    @Override
    public TimerQueue.Timer schedule(Instant at, Runnable task) {
        return timers.schedule(at, task);
    }

    // ---- Turns.

    /** The number of the current turn, from 1. */
    public long turn() {
        return turn;
    }

    /** Shares the turns among the connections of clients. */
    InputScheduler inputScheduler() {
        return inputScheduler;
    }

    /** Handles buffered input of a client in the next turn, which starts without waiting. */
    public void deferInput(InputScheduler.Account account, Runnable task) {
        deferredInput.add(new TurnStep(HandlerPriority.CLIENT, account, task));
        turnRequested = true;
    }

    @Override
    public void requestTurn() {
        turnRequested = true;
    }

    /** Makes {@link #run} return after this turn. */
    public void stop() {
        stopped = true;
    }

    /** Ends the wait of the current turn. May be called from any thread. */
    public void wakeup() {
        selector.wakeup();
    }

    /** Runs turns until {@link #stop}, then closes the selector; {@code endOfTurn} runs at the end of each turn. */
    public void run(Runnable endOfTurn) throws IOException {
        while (!stopped) {
            runTurn(endOfTurn, MAX_WAIT);
        }
        selector.close();
    }

    /** Runs one turn, which waits for at most {@code maxWait}; {@code endOfTurn} runs at its end. */
    public void runTurn(Runnable endOfTurn, Duration maxWait) throws IOException {
        awaitReady(maxWait);
        turn++;
        closedChannels = 0;
        inputScheduler.beginTurn(now);
        List<TurnStep> steps = deferredInput;
        deferredInput = new ArrayList<>();
        selector.selectedKeys().forEach(key -> steps.add(step(key)));
        selector.selectedKeys().clear();
        steps.sort(null);
        steps.forEach(step -> runGuarded(step.task));
        runGuarded(() -> timers.runDue(now));
        runGuarded(endOfTurn);
    }

    private void awaitReady(Duration maxWait) throws IOException {
        Instant lastTurn = now;
        long waitUs =
                turnRequested ? 0 : timers.untilNext(clock.instant(), maxWait).toNanos() / NS_PER_US;
        turnRequested = false;
        selector.selectNow();
        boolean readyAtOnce = !selector.selectedKeys().isEmpty();
        if (!readyAtOnce && waitUs > 0) {
            selector.select((waitUs + US_PER_MS - 1) / US_PER_MS); // rounded up, so that no timer runs early
        }
        now = clock.instant();
        readableSince = readyAtOnce ? later(lastTurn, now.minus(MAX_READABLE_AGE)) : now;
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private static TurnStep step(SelectionKey key) {
        ChannelHandler handler = (ChannelHandler) key.attachment();
        return new TurnStep(handler.priority(), handler.inputAccount(), () -> handle(key));
    }

    private static void handle(SelectionKey key) {
        ChannelHandler handler = (ChannelHandler) key.attachment();
        if (key.isValid()) {
            try {
                handler.onReady(key);
            } catch (IOException | RuntimeException e) {
                handleFailure(handler, e);
            }
        }
    }

    private static void handleFailure(ChannelHandler handler, Exception cause) {
        if (cause instanceof RuntimeException) {
            Logger.error(cause, "unexpected exception in a channel handler");
        }
        runGuarded(() -> handler.onFailure(cause));
    }

    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "unexpected exception in a task of the event loop");
        }
    }

    // ---- Channels.

    SelectionKey register(SelectableChannel channel, int operations, ChannelHandler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, operations, handler);
    }

    /** The shared read buffer, cleared. A handler must consume what was read before it returns. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** The buffer of reads that may run while the read buffer is in use; cleared. */
    ByteBuffer readAvailableBuffer() {
        return readAvailableBuffer.clear();
    }

    /** Counts a channel of this loop that was closed. */
    void channelClosed() {
        if (++closedChannels >= MAX_CLOSED_CHANNELS) {
            releaseClosedChannels();
        }
    }

    /** Frees the descriptors of closed channels at once, for a turn that needs descriptors after closing channels. */
    public void releaseClosedChannels() {
        if (closedChannels > 0) {
            closedChannels = 0;
            turnRequested = true; // which handles the channels that this select finds ready
            try {
                selector.selectNow();
            } catch (IOException e) {
                Logger.warn("cannot release closed channels: {}", e.toString());
            }
        }
    }
}
