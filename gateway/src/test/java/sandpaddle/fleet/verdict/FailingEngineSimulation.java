package sandpaddle.fleet.verdict;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.verdict.watch.AttemptOutcome;

/**
 * Simulates a fleet in which one engine of twelve fails or is unresponsive for 20 s, with little traffic at each
 * gateway.
 *
 * <p>Without verdicts, each gateway ejects the engine by its own outcomes as the decision module does: two missing
 * answers or a failure rate above 0.3 eject it for 0.5 s, doubled by each failed trial up to 4 s, with one trial at a
 * time and at least 20 own queries between trials; an attempt times out after 400 ms. With verdicts, a gateway also
 * sends no queries to an engine that the fleet ejected unless it is a prober. Engines without an answer for 1.5 s get
 * health checks.
 */
final class FailingEngineSimulation {
    static final long FAILS_AT_US = 3_000_000;
    static final long RECOVERS_AT_US = 23_000_000;
    static final long END_US = 31_000_000;
    private static final int ENGINES = 12;
    private static final String FAILING_ENGINE = "e1";
    private static final long LATENCY_US = 10_000;
    private static final long TIMEOUT_US = 400_000;
    private static final long HEALTH_CHECK_INTERVAL_US = 1_500_000;
    private static final long HEALTH_CHECK_POLL_US = 250_000;
    private static final int MIN_QUERIES_BETWEEN_TRIALS = 20;
    private static final long MIN_EJECTION_US = 500_000;
    private static final long MAX_EJECTION_US = 4_000_000;
    private static final long NEVER_US = -10_000_000;

    /**
     * Counts of one run.
     *
     * @param queries number of queries
     * @param failedQueries number of queries sent to the engine while it failed
     * @param trials number of queries sent to the engine while it was ejected
     * @param healthChecks number of health checks of the engine while it failed
     * @param recoveryUs time from the engine's recovery until the last gateway uses it again
     */
    record Result(int queries, int failedQueries, int trials, int healthChecks, long recoveryUs) {}

    /** State of the failing engine at one gateway, from the gateway's own outcomes. */
    private static final class LocalState {
        double failureRate;
        int unanswered;
        long ejectedUntilUs;
        long ejectionUs;
        boolean isEjected;
        boolean hasTrialInFlight;
        int queriesSinceTrial = MIN_QUERIES_BETWEEN_TRIALS;
        long lastTrialUs = NEVER_US;
        long lastAnswerUs;
        long lastHealthCheckUs;
    }

    private final VirtualFleet fleet;
    private final boolean usesVerdicts;
    private final boolean isUnresponsive;
    private final long meanQueryIntervalUs;
    private final Map<String, LocalState> localStates = new HashMap<>();
    private final Map<String, Long> usedAgainUs = new HashMap<>();
    private int queries, failedQueries, trials, healthChecks;

    private FailingEngineSimulation(
            int gateways, boolean usesVerdicts, boolean isUnresponsive, double queriesPerSecond, long seed) {
        fleet = new VirtualFleet(gateways, 3, 3, VerdictSettings.DEFAULT, seed);
        fleet.updateEngines(VirtualFleet.listedEngines(ENGINES, 3));
        this.usesVerdicts = usesVerdicts;
        fleet.isExchangeDisabled = !usesVerdicts;
        this.isUnresponsive = isUnresponsive;
        meanQueryIntervalUs = (long) (1e6 / queriesPerSecond);
    }

    static Result run(int gateways, boolean usesVerdicts, boolean isUnresponsive, double queriesPerSecond, long seed) {
        FailingEngineSimulation simulation =
                new FailingEngineSimulation(gateways, usesVerdicts, isUnresponsive, queriesPerSecond, seed);
        for (String gateway : simulation.fleet.gateways.keySet()) {
            simulation.localStates.put(gateway, new LocalState());
            simulation.scheduleNextQuery(gateway);
            simulation.fleet.schedule(simulation.fleet.random.nextLong(100_000), () -> simulation.checkHealth(gateway));
        }
        simulation.fleet.runUntil(END_US);
        long recoveryUs = simulation.usedAgainUs.size() < gateways
                ? Long.MAX_VALUE
                : simulation.usedAgainUs.values().stream()
                        .mapToLong(timeUs -> timeUs - RECOVERS_AT_US)
                        .max()
                        .orElseThrow();
        return new Result(
                simulation.queries, simulation.failedQueries, simulation.trials, simulation.healthChecks, recoveryUs);
    }

    /** Schedules queries as a Poisson process. */
    private void scheduleNextQuery(String gateway) {
        long nextUs = fleet.nowUs + (long) (-meanQueryIntervalUs * Math.log(1 - fleet.random.nextDouble()));
        fleet.schedule(nextUs, () -> {
            scheduleNextQuery(gateway);
            routeQuery(gateway);
        });
    }

    private boolean isFailing() {
        return fleet.nowUs >= FAILS_AT_US && fleet.nowUs < RECOVERS_AT_US;
    }

    /** The verdict that ejects the engine at a gateway, or null. */
    private FleetEngineVerdict ejectingVerdict(String gateway) {
        if (!usesVerdicts) {
            return null;
        }
        return fleet.gateways.get(gateway).effectiveVerdicts(fleet.localTimeUs(gateway)).stream()
                .filter(verdict -> verdict.engine().equals(FAILING_ENGINE)
                        && verdict.kind().ejects())
                .findFirst()
                .orElse(null);
    }

    private void routeQuery(String gateway) {
        queries++;
        LocalState state = localStates.get(gateway);
        state.queriesSinceTrial++;
        List<String> candidates = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            candidates.add("e" + i);
        }
        FleetEngineVerdict verdict = ejectingVerdict(gateway);
        boolean isTrial = false;
        if (verdict != null) {
            isTrial = verdict.isProber()
                    && !state.hasTrialInFlight
                    && fleet.nowUs - state.lastTrialUs >= fleet.settings.probeIntervalUs();
        } else if (state.isEjected) {
            isTrial = !state.hasTrialInFlight
                    && fleet.nowUs >= state.ejectedUntilUs
                    && state.queriesSinceTrial >= MIN_QUERIES_BETWEEN_TRIALS;
        }
        if (verdict == null && !state.isEjected && fleet.nowUs >= RECOVERS_AT_US) {
            usedAgainUs.putIfAbsent(gateway, fleet.nowUs);
        }
        if (verdict != null || state.isEjected) {
            candidates.remove(FAILING_ENGINE);
        }
        String engine = isTrial ? FAILING_ENGINE : candidates.get(fleet.random.nextInt(candidates.size()));
        if (isTrial) {
            trials++;
            state.hasTrialInFlight = true;
            state.queriesSinceTrial = 0;
            state.lastTrialUs = fleet.nowUs;
        }
        sendAttempt(gateway, engine, isTrial);
    }

    private void sendAttempt(String gateway, String engine, boolean isTrial) {
        if (!engine.equals(FAILING_ENGINE)) {
            fleet.schedule(fleet.nowUs + LATENCY_US, () -> observe(gateway, engine, AttemptOutcome.ANSWERED));
        } else if (!isFailing()) {
            fleet.schedule(fleet.nowUs + LATENCY_US, () -> attemptEnded(gateway, AttemptOutcome.ANSWERED, isTrial));
        } else {
            failedQueries++;
            fleet.schedule(
                    fleet.nowUs + (isUnresponsive ? TIMEOUT_US : LATENCY_US),
                    () -> attemptEnded(
                            gateway, isUnresponsive ? AttemptOutcome.NO_ANSWER : AttemptOutcome.FAILED, isTrial));
        }
    }

    private void observe(String gateway, String engine, AttemptOutcome outcome) {
        long latencyUs = outcome == AttemptOutcome.NO_ANSWER ? TIMEOUT_US : LATENCY_US;
        fleet.gateways
                .get(gateway)
                .observer()
                .attemptEnded(fleet.localTimeUs(gateway), engine, outcome, latencyUs, LATENCY_US);
    }

    private void attemptEnded(String gateway, AttemptOutcome outcome, boolean isTrial) {
        observe(gateway, FAILING_ENGINE, outcome);
        LocalState state = localStates.get(gateway);
        state.hasTrialInFlight &= !isTrial;
        if (outcome == AttemptOutcome.ANSWERED) {
            state.lastAnswerUs = fleet.nowUs;
            state.failureRate *= 0.8;
            state.unanswered = 0;
            state.isEjected = false;
            state.ejectionUs = 0;
            state.lastTrialUs = NEVER_US;
            return;
        }
        state.failureRate = state.failureRate * 0.8 + 0.2;
        state.unanswered += outcome == AttemptOutcome.NO_ANSWER ? 1 : 0;
        if (state.isEjected && isTrial
                || !state.isEjected && (state.unanswered >= 2 || !isUnresponsive && state.failureRate > 0.3)) {
            state.isEjected = true;
            state.ejectionUs = Math.min(MAX_EJECTION_US, Math.max(MIN_EJECTION_US, state.ejectionUs * 2));
            state.ejectedUntilUs = fleet.nowUs + state.ejectionUs;
        }
    }

    private void checkHealth(String gateway) {
        fleet.schedule(fleet.nowUs + HEALTH_CHECK_POLL_US, () -> checkHealth(gateway));
        LocalState state = localStates.get(gateway);
        FleetEngineVerdict verdict = ejectingVerdict(gateway);
        boolean isDue = fleet.nowUs - Math.max(state.lastAnswerUs, state.lastHealthCheckUs) >= HEALTH_CHECK_INTERVAL_US;
        if (isDue && (verdict == null || verdict.isProber())) {
            healthChecks += isFailing() ? 1 : 0;
            state.lastHealthCheckUs = fleet.nowUs;
            state.lastAnswerUs = isFailing() && isUnresponsive ? state.lastAnswerUs : fleet.nowUs;
        }
    }
}
