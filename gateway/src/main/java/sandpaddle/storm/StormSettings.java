package sandpaddle.storm;

/**
 * What the operator sets of the storm subsystem; the operators' page tells what each key does. Times are in
 * microseconds, shares from 0 to 1.
 */
public record StormSettings(boolean enabled, Detection detection, Calendar calendar, Recovery recovery,
        Connections connections, Loads loads) {

    /**
     * When a storm begins and ends. {@code returnShare}: part of the arrivals that are returns; {@code badShare}: part
     * of the final answers that are no result; both must hold for {@code enterUs}. Calm is back once both are under
     * {@code calmShare} for {@code calmUs}. A refused statement is remembered for {@code memoryUs} after the time at
     * which it was told to return, in a table of {@code entries}.
     */
    public record Detection(double returnShare, double badShare, double calmShare, long enterUs, long calmUs,
            long memoryUs, int entries) { }

    /**
     * Where refused clients are sent: slots of {@code slotUs}, pauses from {@code leastUs} to {@code mostUs} (0: the
     * most that the platform's settings allow). Of what the fleet can take, {@code newcomersShare} is never planned.
     */
    public record Calendar(long slotUs, long leastUs, long mostUs, double newcomersShare) { }

    /**
     * The ramp after an outage: this gateway first admits {@code startShare} of its equal part of what the fleet can do
     * now, and {@code increase} of that part more at a time while what it admits waits no longer than {@code
     * holdTargetUs}; else it admits {@code decrease} times as much. Each kind of work keeps {@code reserveShare} of
     * what is admitted. {@code canariesPerS} requests a second go through though nothing answers.
     */
    public record Recovery(double startShare, long holdTargetUs, double increase, double decrease,
            double reserveShare, double canariesPerS) { }

    /** While no calm holds, new connections are taken up to {@code overUsual} times the usual rate, or this many. */
    public record Connections(double leastPerS, double overUsual) { }

    /** Repeats of loads that say which load they are; {@code resultBytes}: of all results kept for them. */
    public record Loads(boolean enabled, long keepUs, int entries, long resultBytes) { }

    /** The defaults, switched off. */
    public static final StormSettings OFF = new StormSettings(false,
            new Detection(0.3, 0.3, 0.1, 500_000, 5_000_000, 5_000_000, 16_384),
            new Calendar(50_000, 100_000, 0, 0.3),
            new Recovery(0.7, 250_000, 0.05, 0.8, 0.04, 3),
            new Connections(50, 3),
            new Loads(false, 600_000_000, 4096, 2_000_000));

    /** The same, switched on or off. */
    public StormSettings with(boolean on) {
        return new StormSettings(on, detection, calendar, recovery, connections, loads);
    }
}
