package sandpaddle.bench.race;

import org.openjdk.jcstress.annotations.Actor;
import org.openjdk.jcstress.annotations.Expect;
import org.openjdk.jcstress.annotations.JCStressTest;
import org.openjdk.jcstress.annotations.Outcome;
import org.openjdk.jcstress.annotations.State;
import org.openjdk.jcstress.infra.results.II_Result;
import sandpaddle.fleet.view.Publication;

/** A reader that has seen a view never sees an older one afterwards. */
@JCStressTest
@Outcome(
        id = {"0, 0", "0, 1", "0, 2", "1, 1", "1, 2", "2, 2"},
        expect = Expect.ACCEPTABLE,
        desc = "same or newer view")
@Outcome(expect = Expect.FORBIDDEN, desc = "older view after a newer one")
@State
public class ViewOrder {
    private final Publication<Integer> views = new Publication<>(0);

    /** Publishes two views. */
    @Actor
    public void publish() {
        views.publish(1);
        views.publish(2);
    }

    /** Reads the current view twice. */
    @Actor
    public void read(II_Result result) {
        result.r1 = views.current();
        result.r2 = views.current();
    }
}
