package sandpaddle.bench.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import sandpaddle.fleet.view.AttemptCounters;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.fleet.view.Publication;
import sandpaddle.fleet.view.SlotUsage;

/**
 * Measures the cost of the fleet on the path of a request: reading the view, and counting the start and end of an
 * attempt. Run with {@code -prof gc} for allocated bytes.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RequestPath {
    private static final int REQUEST_CLASSES = 3;

    @Param({"8", "300"})
    private int engines;

    private Publication<FleetView> views;
    private AttemptCounters counters;
    private String[] names;
    private String[] tenants;
    private int iteration;

    /** Builds a view with one limit per engine and a few others. */
    @Setup
    public void setUp() {
        List<LimitSlot> slots = new ArrayList<>();
        slots.add(new LimitSlot("all", "", -1, null, null, LimitSlot.Counts.RUNNING));
        slots.add(new LimitSlot("reports", "", 1, null, null, LimitSlot.Counts.RUNNING));
        names = new String[engines];
        for (int i = 0; i < engines; i++) {
            names[i] = "s-" + i;
            slots.add(new LimitSlot("each|s-" + i, "", -1, null, names[i], LimitSlot.Counts.RUNNING));
        }
        tenants = new String[] {"acme", "borea", "unknown"};
        slots.add(new LimitSlot("tenant|acme", "", -1, "acme", null, LimitSlot.Counts.RUNNING));
        List<FleetView.SlotQuota> quotas =
                slots.stream().map(s -> new FleetView.SlotQuota(8, 1, 0)).toList();
        views = new Publication<>(new FleetView(
                1, slots, quotas, List.of(), 0, Long.MAX_VALUE, List.of(), Map.of(), FleetView.Isolation.NONE));
        counters = new AttemptCounters(views, new Publication<>(new SlotUsage(0, 0)), REQUEST_CLASSES);
        counters.adoptView();
    }

    /** Reads the current view and checks its lease. */
    @Benchmark
    public boolean readView() {
        return views.current().isLeased(System.nanoTime());
    }

    /** Starts an attempt, with the check against the view, and ends it. */
    @Benchmark
    public boolean countStartAndEnd() {
        int step = iteration++ & 0x7fffffff;
        String engine = names[step % engines];
        String tenant = tenants[step % 3];
        boolean admitted = counters.tryStart(step % REQUEST_CLASSES, tenant, engine, System.nanoTime() / 1000);
        counters.ended(step % REQUEST_CLASSES, tenant, engine);
        return admitted;
    }
}
