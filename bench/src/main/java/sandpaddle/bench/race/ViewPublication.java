package sandpaddle.bench.race;

import org.openjdk.jcstress.annotations.Actor;
import org.openjdk.jcstress.annotations.Expect;
import org.openjdk.jcstress.annotations.JCStressTest;
import org.openjdk.jcstress.annotations.Outcome;
import org.openjdk.jcstress.annotations.State;
import org.openjdk.jcstress.infra.results.II_Result;
import sandpaddle.fleet.view.Publication;

/** Safe publication: a reader of a new view sees all writes made before it was published, also to plain fields. */
@JCStressTest
@Outcome(id = "0, 0", expect = Expect.ACCEPTABLE, desc = "the first view")
@Outcome(id = "1, 1", expect = Expect.ACCEPTABLE, desc = "the complete new view")
@Outcome(expect = Expect.FORBIDDEN, desc = "a partially initialized view")
@State
public class ViewPublication {
    static final class PlainView {
        int ceiling;
        int expiry;
    }

    private final Publication<PlainView> views = new Publication<>(new PlainView());

    /** Publishes a view with plain fields. */
    @Actor
    public void publish() {
        PlainView next = new PlainView();
        next.ceiling = 1;
        next.expiry = 1;
        views.publish(next);
    }

    /** Reads the fields of the current view. */
    @Actor
    public void read(II_Result result) {
        PlainView seen = views.current();
        result.r1 = seen.ceiling;
        result.r2 = seen.expiry;
    }
}
