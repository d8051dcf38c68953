package sandpaddle.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import sandpaddle.decision.Micros;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.HealthCheckEnded;
import sandpaddle.eventloop.Scheduler;

/**
 * The events that the decision module has yet to handle, in order of arrival. Drained at the end of each turn.
 *
 * <p>Confined to the event loop's thread.
 */
final class EventQueue {
    private final Scheduler loop;
    private final List<String> reportFields;
    private List<Event> events = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param loop the event loop
     * @param reportFields names of the fields of an engine's load report, in the order of the module's values
     */
    EventQueue(Scheduler loop, List<String> reportFields) {
        this.loop = loop;
        this.reportFields = reportFields;
    }

    /** Adds an event. The module handles it at the end of this turn, or of the next one if this one has drained. */
    void add(Event event) {
        events.add(event);
        loop.requestTurn();
    }

    /**
     * Adds the end of an attempt.
     *
     * @param request the request of the attempt
     * @param attempt number of the attempt, from 0
     * @param engine where it ran
     * @param result how it ended
     * @param elapsed time since it was started
     * @param stats the engine's statistics line, null if none arrived
     */
    void addAttemptEnded(
            ActiveRequest request, int attempt, String engine, AttemptResult result, Duration elapsed, String stats) {
        add(new AttemptEnded(
                request.id(),
                attempt,
                engine,
                result,
                request.isAnswered(),
                Micros.of(elapsed),
                0,
                0,
                LoadReportParser.parse(stats, reportFields)));
    }

    /**
     * Adds the end of a health check.
     *
     * @param engine the engine checked
     * @param result how it ended
     * @param elapsed time since it was started
     * @param stats the engine's statistics line, null if none arrived
     */
    void addHealthCheckEnded(String engine, AttemptResult result, Duration elapsed, String stats) {
        add(new HealthCheckEnded(engine, result, Micros.of(elapsed), LoadReportParser.parse(stats, reportFields)));
    }

    /** Removes and returns all events. */
    List<Event> drain() {
        if (events.isEmpty()) {
            return List.of();
        }
        List<Event> drained = events;
        events = new ArrayList<>();
        return drained;
    }
}
