package sandpaddle.bench.race;

import org.openjdk.jcstress.annotations.Actor;
import org.openjdk.jcstress.annotations.Expect;
import org.openjdk.jcstress.annotations.JCStressTest;
import org.openjdk.jcstress.annotations.Outcome;
import org.openjdk.jcstress.annotations.State;
import org.openjdk.jcstress.infra.results.JJ_Result;
import sandpaddle.fleet.view.PaddedCounters;

/**
 * A reader that sees the addition to the second counter also sees the earlier addition to the first. The start of an
 * attempt is counted in all of its limits in order, and no addition is lost.
 */
@JCStressTest
@Outcome(
        id = {"0, 0", "0, 1", "1, 1"},
        expect = Expect.ACCEPTABLE,
        desc = "in order")
@Outcome(id = "1, 0", expect = Expect.FORBIDDEN, desc = "the later addition without the earlier one")
@State
public class CounterOrder {
    private final PaddedCounters counters = new PaddedCounters(2);

    /** Adds to the first counter, then to the second. */
    @Actor
    public void write() {
        counters.add(0, 1);
        counters.add(1, 1);
    }

    /** Reads the counters in reverse order. */
    @Actor
    public void read(JJ_Result result) {
        result.r1 = counters.get(1);
        result.r2 = counters.get(0);
    }
}
