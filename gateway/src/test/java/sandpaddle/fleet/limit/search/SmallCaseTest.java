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
import sandpaddle.fleet.limit.search.Event.What;

class SmallCaseTest {
    private static final int CALM = 12; // steps until all quotas are given
    private static final Event NONE = new Event(What.NONE, 0, 0);
    /** What happens first, so that the search behind it is short. */
    private static final Map<Guard, List<Event>> FIRST = Map.of(
            Guard.VERSION, List.of(new Event(What.HUNGRY, 2, 0)),
            Guard.SHRINK_FIRST, List.of(new Event(What.LATE, 0, 0)),
            Guard.MAJORITY, List.of(new Event(What.ELECT, 0, 0)),
            Guard.FROM_SEND, List.of(new Event(What.LATE, 0, 0), NONE),
            Guard.ELECTION_RENEWS, List.of(new Event(What.HUNGRY, 2, 0)));

    private static World calm(LimitSettings settings) {
        World world = new World(settings, 0);
        for (int i = 0; i < CALM; i++) {
            world.step(NONE);
            assertTrue(!world.over());
        }
        return world;
    }

    @Test
    void noReachableStateExceedsTheLimit() {
        World world = calm(World.settings());
        assertEquals(World.AMOUNT, world.running(), "all of it is in use before anything happens");
        world.faults = 2;
        Search search = new Search(CALM + 7).from(world);
        assertNull(search.fault, () -> "over the limit after " + search.fault);
        System.out.println("small case: " + search.states() + " states, " + search.steps + " steps");
        assertTrue(search.states() >= MIN_STATES, search.states() + " states");
        assertEquals(World.AMOUNT, search.busiest, "the limit was used up to its amount");
    }

    private static final int MIN_STATES = 25_000;

    @ParameterizedTest
    @EnumSource(
            value = Guard.class,
            names = {"SESSION", "INCARNATION"},
            mode = EnumSource.Mode.EXCLUDE)
    void eachDisabledGuardIsFound(Guard guard) {
        World world = calm(World.settings().without(guard));
        FIRST.getOrDefault(guard, List.of()).forEach(world::step);
        assertTrue(!world.over());
        world.faults = 1;
        Search search = new Search(world.time + 8).from(world);
        assertNotNull(search.fault, search.states() + " states without a fault");
    }
}
