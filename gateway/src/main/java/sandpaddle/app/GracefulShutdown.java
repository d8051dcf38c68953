package sandpaddle.app;

import java.time.Duration;
import java.util.List;
import org.tinylog.Logger;
import sandpaddle.dispatch.Dispatcher;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.query.EngineClient;
import sandpaddle.query.Frontend;

/**
 * Graceful shutdown of the process. New requests are accepted during a grace period. Afterwards each connection is
 * closed once it has no open query, and the process ends with the last one. Queries that are still open shortly before
 * the platform kills the process get a final answer. Races with requests are described in docs/design/crossings.md.
 * Confined to the event loop's thread.
 */
public final class GracefulShutdown {
    /** Phase of the shutdown; it only advances, in this order. */
    public enum ShutdownPhase {
        /** No shutdown was requested. */
        SERVING,
        /** A shutdown was requested; connections and requests are still accepted. */
        GRACE,
        /** New connections are not accepted, and idle ones are closed. */
        CLOSING,
        /** The event loop was stopped. */
        TERMINATED
    }

    /** After the shutdown request, connections still arrive for 0.4 s and requests for another 0.2 s. */
    private static final Duration GRACE_PERIOD = Duration.ofMillis(700);
    /**
     * The platform kills the process after the grace period and the longest deadline at the earliest; of that deadline
     * at most this much counts.
     */
    private static final Duration MAX_COUNTED_DEADLINE = Duration.ofSeconds(3);

    /** Time before the kill at which open queries get their final answer. */
    private static final Duration FINAL_ANSWERS_BEFORE_KILL = Duration.ofMillis(300);
    /** Time before the kill at which the process ends, whatever is open. */
    private static final Duration EXIT_BEFORE_KILL = Duration.ofMillis(150);

    private final Scheduler loop;
    private final Dispatcher dispatcher;
    private final EngineClient engines;
    private final List<Frontend> frontends;
    private final Duration killAfter; // from the shutdown request
    private final Runnable stop;
    private ShutdownPhase phase = ShutdownPhase.SERVING;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param loop schedules the phases
     * @param dispatcher the queries to finish
     * @param engines the calls to engines; pending cancels are sent before the end
     * @param frontends the client connections to close
     * @param maxDeadline the longest deadline of a request class
     * @param stop stops the event loop; called once
     */
    public GracefulShutdown(
            Scheduler loop,
            Dispatcher dispatcher,
            EngineClient engines,
            List<Frontend> frontends,
            Duration maxDeadline,
            Runnable stop) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.engines = engines;
        this.frontends = frontends;
        this.stop = stop;
        killAfter =
                GRACE_PERIOD.plus(maxDeadline.compareTo(MAX_COUNTED_DEADLINE) < 0 ? maxDeadline : MAX_COUNTED_DEADLINE);
    }

    /** The current phase. */
    public ShutdownPhase phase() {
        return phase;
    }

    /** Begins the shutdown; no effect if it has begun already. */
    public void begin() {
        if (phase == ShutdownPhase.SERVING) {
            phase = ShutdownPhase.GRACE;
            Logger.info("shutdown requested");
            loop.scheduleAfter(GRACE_PERIOD, () -> {
                phase = ShutdownPhase.CLOSING;
                frontends.forEach(Frontend::stopListening);
            });
            loop.scheduleAfter(killAfter.minus(FINAL_ANSWERS_BEFORE_KILL), dispatcher::answerAllAndStop);
            loop.scheduleAfter(killAfter.minus(EXIT_BEFORE_KILL), this::terminate);
        }
    }

    private void terminate() {
        if (phase != ShutdownPhase.TERMINATED) {
            phase = ShutdownPhase.TERMINATED;
            stop.run();
        }
    }

    /** Closes idle connections and ends the process if none is left; called at the end of each event-loop turn. */
    public void endOfTurn() {
        if (phase == ShutdownPhase.CLOSING) {
            frontends.forEach(Frontend::closeIdle);
            if (dispatcher.isIdle() && frontends.stream().allMatch(Frontend::isIdle) && engines.hasNoPendingCancels()) {
                terminate();
            }
        }
    }
}
