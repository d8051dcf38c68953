package sandpaddle.bench.race;

import org.openjdk.jcstress.annotations.Actor;
import org.openjdk.jcstress.annotations.Arbiter;
import org.openjdk.jcstress.annotations.Expect;
import org.openjdk.jcstress.annotations.JCStressTest;
import org.openjdk.jcstress.annotations.Outcome;
import org.openjdk.jcstress.annotations.State;
import org.openjdk.jcstress.infra.results.JJ_Result;
import sandpaddle.fleet.view.PaddedCounters;

/** A concurrent reader sees no torn long values, and no addition is lost. */
@JCStressTest
@Outcome(
        id = {"0, 8589934594", "4294967297, 8589934594", "8589934594, 8589934594"},
        expect = Expect.ACCEPTABLE,
        desc = "untorn values")
@Outcome(expect = Expect.FORBIDDEN, desc = "torn or lost")
@State
public class CounterTotal {
    private static final long STEP = (1L << 32) + 1; // changes both 32-bit halves

    private final PaddedCounters counters = new PaddedCounters(1);

    /** Adds a step twice. */
    @Actor
    public void write() {
        counters.add(0, STEP);
        counters.add(0, STEP);
    }

    /** Reads the counter concurrently. */
    @Actor
    public void read(JJ_Result result) {
        result.r1 = counters.get(0);
    }

    /** Reads the final total. */
    @Arbiter
    public void end(JJ_Result result) {
        result.r2 = counters.get(0);
    }
}
