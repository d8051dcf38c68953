package sandpaddle.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates a query engine with a clock supplied by the caller. All admitted queries run concurrently and share the
 * cores by priority (weights 1, 4, 8 and 16), except while they do I/O. Above a number of threads per core, contention
 * reduces the total throughput. A cold engine starts with a share of its capacity and warms up linearly; one that is
 * sent too much work while cold crashes. Times are in microseconds, work in microseconds of one thread.
 */
final class EngineModel {
    /**
     * Properties of an engine.
     *
     * @param cores number of cores
     * @param speed work per microsecond of a thread
     * @param maxRunning limit of concurrent queries
     * @param saturationThreadsPerCore threads per core above which contention begins
     * @param contentionLoss share of throughput lost per further thread per core
     * @param initialCapacityShare share of the capacity right after the start
     * @param warmUpUs time to full capacity
     * @param crashMultiple a cold engine crashes if sent more than this multiple of its capacity
     * @param crashWindowUs window over which the sent work is summed
     */
    record Spec(
            double cores,
            double speed,
            int maxRunning,
            double saturationThreadsPerCore,
            double contentionLoss,
            double initialCapacityShare,
            long warmUpUs,
            double crashMultiple,
            long crashWindowUs) {
        static Spec standard() {
            return new Spec(8, 1, 64, 1.6, 0.5, 0.3, 12_000_000, 4, 1_000_000);
        }
    }

    private static final long STEP_US = 20_000; // speeds are constant within a step
    private static final int[] WEIGHTS = {1, 4, 8, 16};
    private static final double MIN_EFFICIENCY = 0.35;

    private static final class Running {
        private final int threads;
        private final double cpuFraction; // share of the run time that needs a core
        private double remaining;
        private final double totalWork;
        private int priority;
        private double speed; // of each thread

        Running(int threads, double cpuFraction, double work, int priority) {
            this.threads = threads;
            this.cpuFraction = cpuFraction;
            remaining = work;
            totalWork = work;
            this.priority = priority;
        }
    }

    private record Arrival(long atUs, double work) {}

    private final Spec spec;
    private final long startedUs; // 0 if already warm
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final List<String> completed = new ArrayList<>(); // not yet returned by advance
    private final ArrayDeque<Arrival> recentArrivals = new ArrayDeque<>();
    private double recentWork;
    private long simulatedUs;
    private boolean crashed;

    EngineModel(Spec spec, long startedUs, long nowUs) {
        this.spec = spec;
        this.startedUs = startedUs;
        simulatedUs = nowUs;
    }

    /** Returns the share of the full capacity available at a time. */
    double capacityFraction(long nowUs) {
        double age = nowUs - startedUs;
        return startedUs <= 0 || age >= spec.warmUpUs
                ? 1
                : spec.initialCapacityShare + (1 - spec.initialCapacityShare) * age / spec.warmUpUs;
    }

    /**
     * Starts a query after simulating up to {@code nowUs}; returns false if the engine is full. May crash the engine.
     */
    boolean begin(long nowUs, String id, double work, int threads, double cpuFraction, int priority) {
        advanceTo(nowUs);
        recentArrivals.add(new Arrival(nowUs, work));
        recentWork += work;
        while (!recentArrivals.isEmpty() && recentArrivals.peek().atUs <= nowUs - spec.crashWindowUs) {
            recentWork -= recentArrivals.poll().work;
        }
        double capacity = spec.cores * spec.speed * capacityFraction(nowUs) * spec.crashWindowUs;
        crashed |= capacityFraction(nowUs) < 1 && recentWork > spec.crashMultiple * capacity;
        if (running.size() >= spec.maxRunning) {
            return false;
        }
        running.put(id, new Running(threads, cpuFraction, work, priority));
        return true;
    }

    /** Whether the engine has crashed: it was sent more than a multiple of its capacity while cold. */
    boolean hasCrashed() {
        return crashed;
    }

    void cancel(String id) {
        running.remove(id);
        completed.remove(id);
    }

    void setPriority(String id, int priority) {
        Running r = running.get(id);
        if (r != null) {
            r.priority = priority;
        }
    }

    /** Simulates up to {@code nowUs}; returns the queries completed since the last call, in order. */
    List<String> advance(long nowUs) {
        advanceTo(nowUs);
        List<String> completions = List.copyOf(completed);
        completed.clear();
        return completions;
    }

    private void advanceTo(long nowUs) {
        while (simulatedUs < nowUs) {
            long step = Math.min(STEP_US, nowUs - simulatedUs);
            allocateCores(simulatedUs);
            Iterator<Map.Entry<String, Running>> i = running.entrySet().iterator();
            while (i.hasNext()) {
                Map.Entry<String, Running> e = i.next();
                Running r = e.getValue();
                r.remaining -= r.speed * r.threads * step;
                if (r.remaining <= 0) {
                    completed.add(e.getKey());
                    i.remove();
                }
            }
            simulatedUs += step;
        }
    }

    /** Distributes the cores by priority, at most one core per thread; what is left over goes to the other threads. */
    private void allocateCores(long nowUs) {
        double threads = threads();
        double capacity = spec.cores * capacityFraction(nowUs);
        double over = threads / capacity - spec.saturationThreadsPerCore;
        double remaining = capacity * (over > 0 ? Math.max(MIN_EFFICIENCY, 1 - spec.contentionLoss * over) : 1);
        List<Running> unallocated = new ArrayList<>(running.values());
        unallocated.forEach(r -> r.speed = 0);
        for (boolean full = true; full && !unallocated.isEmpty(); ) {
            full = false;
            double weights = unallocated.stream()
                    .mapToDouble(r -> WEIGHTS[r.priority] * r.threads * r.cpuFraction)
                    .sum();
            double unit = remaining / weights;
            for (Iterator<Running> i = unallocated.iterator(); i.hasNext(); ) {
                Running r = i.next();
                if (unit * WEIGHTS[r.priority] >= 1) {
                    r.speed = spec.speed;
                    remaining -= r.threads * r.cpuFraction;
                    i.remove();
                    full = true;
                }
            }
            if (!full) {
                unallocated.forEach(r -> r.speed = spec.speed * unit * WEIGHTS[r.priority]);
            }
        }
    }

    private double threads() {
        return running.values().stream()
                .mapToDouble(r -> r.threads * r.cpuFraction)
                .sum();
    }

    /** Share of the available cores in use. */
    double utilization(long nowUs) {
        return Math.min(1, threads() / (spec.cores * capacityFraction(nowUs)));
    }

    /** Returns the completed share of a query's work; 1 for an unknown query. */
    double completedFraction(String id) {
        Running r = running.get(id);
        return r == null ? 1 : 1 - r.remaining / r.totalWork;
    }

    int runningCount() {
        return running.size();
    }
}
