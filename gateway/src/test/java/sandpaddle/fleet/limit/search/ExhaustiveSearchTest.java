package sandpaddle.fleet.limit.search;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.search.Event.Kind;

/** Checks that no sequence of events exceeds the limit, and that one does if a guard is disabled. */
class ExhaustiveSearchTest {
    private static final int SETTLING_STEPS = 12; // until all quotas are allocated
    private static final Event NO_EVENT = new Event(Kind.NONE, 0, 0);
    /** Events before the search, which shorten it. */
    private static final Map<Guard, List<Event>> FIRST_EVENTS = Map.of(
            Guard.VERSION, List.of(new Event(Kind.DEMAND_MOVED, 2, 0)),
            Guard.SHRINK_FIRST, List.of(new Event(Kind.GRANTS_DELAYED, 0, 0)),
            Guard.MAJORITY, List.of(new Event(Kind.LEADER_ELECTED, 0, 0)),
            Guard.FROM_SEND, List.of(new Event(Kind.GRANTS_DELAYED, 0, 0), NO_EVENT),
            Guard.ELECTION_RENEWS, List.of(new Event(Kind.DEMAND_MOVED, 2, 0)));

    private static FleetModel settledModel(LimitSettings settings) {
        FleetModel model = new FleetModel(settings, 0);
        for (int i = 0; i < SETTLING_STEPS; i++) {
            model.step(NO_EVENT);
            assertTrue(!model.isOverLimit());
        }
        return model;
    }

    @Test
    void noReachableStateExceedsTheLimit() {
        FleetModel model = settledModel(FleetModel.settings());
        assertEquals(FleetModel.AMOUNT, model.running(), "the whole limit is in use before the first event");
        model.remainingFaults = 2;
        ExhaustiveSearch search = new ExhaustiveSearch(SETTLING_STEPS + 7).from(model);
        assertNull(search.violation, () -> "limit exceeded after " + search.violation);
        System.out.println("exhaustive search: " + search.states() + " states, " + search.steps + " steps");
        assertTrue(search.states() >= MIN_STATES, search.states() + " states");
        assertEquals(FleetModel.AMOUNT, search.maxRunning, "the whole limit was in use");
    }

    private static final int MIN_STATES = 25_000;

    @ParameterizedTest
    @EnumSource(
            value = Guard.class,
            names = {"SESSION", "INCARNATION"},
            mode = EnumSource.Mode.EXCLUDE)
    void eachDisabledGuardLeadsToViolation(Guard guard) {
        FleetModel model = settledModel(FleetModel.settings().without(guard));
        FIRST_EVENTS.getOrDefault(guard, List.of()).forEach(model::step);
        assertTrue(!model.isOverLimit());
        model.remainingFaults = 1;
        ExhaustiveSearch search = new ExhaustiveSearch(model.time + 8).from(model);
        assertNotNull(search.violation, search.states() + " states without a violation");
    }
}
