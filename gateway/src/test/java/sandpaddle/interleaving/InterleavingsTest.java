package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/**
 * Bounded exhaustive exploration of the interleavings of one client, one engine, the endpoint list and the operator, on
 * a complete gateway with real sockets. The {@link ReferenceModel} checks what the peers observed. Schedules have up to
 * two steps of any event at any placement in a turn, or up to three steps of the events that coincide most often.
 * {@code -Dinterleavings.depth=3} extends the first bound; it takes some minutes.
 */
public class InterleavingsTest {
    private static final List<String> ROUTES =
            List.of("again", "once", "window"); // idempotent, not idempotent, with key
    private static final int ALL_EVENTS_DEPTH = 2;
    private static final int CORE_EVENTS_DEPTH = 3;
    private static final int MIN_ALL_EVENTS_SCHEDULES = 4400;
    private static final int MIN_CORE_EVENTS_SCHEDULES = 4400;
    private static final Set<Event> CORE_EVENTS = EnumSet.of(
            Event.REQUEST_START,
            Event.REQUEST_REMAINDER,
            Event.CLIENT_HALF_CLOSES,
            Event.KILL_QUERY,
            Event.TIME_STEP,
            Event.ENGINE_DRAINS,
            Event.SHUTDOWN,
            Event.GRACE_PERIOD,
            Event.ROWS,
            Event.ERROR,
            Event.DECLINED,
            Event.ENGINE_RESETS,
            Event.THREE_ENGINE_RESETS,
            Event.DELETES_LOST);

    private static int explore(Set<Event> events, Set<ScheduleStep.Placement> placements, int depth) throws Exception {
        int explored = 0;
        for (ScheduleRun.InitialState initialState : ScheduleRun.InitialState.values()) {
            for (String route : ROUTES) {
                InterleavingExplorer explorer = new InterleavingExplorer(route, initialState, events, placements);
                explorer.explore(depth);
                explored += explorer.explored();
                assertEquals(
                        explorer.failures().size(),
                        0,
                        explorer.failures().stream()
                                .limit(20)
                                .map(Object::toString)
                                .collect(Collectors.joining("\n", "\n", "\n")));
            }
        }
        System.out.printf("%d interleavings of at most %d of %d events explored%n", explored, depth, events.size());
        return explored;
    }

    /** All events, before a turn, during a turn and together with the next event. */
    @Test
    public void modelHoldsForAllPairsOfEvents() throws Exception {
        int explored = explore(
                EnumSet.allOf(Event.class),
                EnumSet.allOf(ScheduleStep.Placement.class),
                Integer.getInteger("interleavings.depth", ALL_EVENTS_DEPTH));
        assertTrue(
                explored >= MIN_ALL_EVENTS_SCHEDULES,
                explored + " schedules were explored; expected at least " + MIN_ALL_EVENTS_SCHEDULES);
    }

    /** The core events, each before a turn of its own. */
    @Test
    public void modelHoldsForAllTriplesOfCoreEvents() throws Exception {
        int explored = explore(CORE_EVENTS, EnumSet.of(ScheduleStep.Placement.BEFORE_TURN), CORE_EVENTS_DEPTH);
        assertTrue(
                explored >= MIN_CORE_EVENTS_SCHEDULES,
                explored + " schedules were explored; expected at least " + MIN_CORE_EVENTS_SCHEDULES);
    }
}
