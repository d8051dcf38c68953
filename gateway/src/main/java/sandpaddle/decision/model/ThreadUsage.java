package sandpaddle.decision.model;

/** Threads used by this gateway's queries on one engine or on the fleet, per class and in total. */
public final class ThreadUsage {
    private final double[] byClass;
    private double total;

    /** Creates a usage of zero for a number of classes. */
    public ThreadUsage(int classes) {
        byClass = new double[classes];
    }

    /** Adds threads of a class, or removes them where {@code threads} is negative. */
    public void add(int classIndex, int threads) {
        byClass[classIndex] += threads;
        total += threads;
    }

    /** Returns the threads used by a class. */
    public double ofClass(int classIndex) {
        return byClass[classIndex];
    }

    /** Returns the threads used by all classes. */
    public double total() {
        return total;
    }
}
