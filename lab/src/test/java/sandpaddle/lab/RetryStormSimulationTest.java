package sandpaddle.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sandpaddle.decision.event.EngineStatus;

/** Difficult outages with the production dispatcher, decision module and overload controller, in simulated time. */
class RetryStormSimulationTest {
    private static final RetryStormSimulation.ClientBehavior STANDARD =
            new RetryStormSimulation.ClientBehavior(2, Duration.ofMillis(300), 0.6);

    private RetryStormSimulation simulation;

    private void start(long seed, RetryStormSimulation.ClientBehavior behavior) {
        simulation = new RetryStormSimulation(seed, behavior, true, 3, 8);
        simulation.startRequests(0.7);
        simulation.scheduler.run(Duration.ofSeconds(10));
    }

    private void killAll(Duration listDelay) {
        for (RetryStormSimulation.Engine e : List.copyOf(simulation.engines.values())) {
            e.kill();
            simulation.scheduler.scheduleAfter(listDelay, () -> simulation.publish(e, EngineStatus.REMOVED));
        }
    }

    /** Starts eight cold engines at intervals; the endpoint list publishes each a second after its start. */
    private void restartEngines(Duration apart) {
        for (int i = 0; i < 8; i++) {
            simulation.scheduler.scheduleAfter(apart.multipliedBy(i), () -> {
                RetryStormSimulation.Engine e = simulation.start(simulation.nowUs());
                simulation.scheduler.scheduleAfter(Duration.ofSeconds(1), () -> simulation.publish(e, EngineStatus.UP));
            });
        }
    }

    /** Runs until every request has ended, and checks the rules. */
    private void endAndCheck() {
        simulation.stopRequests();
        simulation.scheduler.run(Duration.ofSeconds(80));
        assertEquals(0, simulation.openRequests(), "unfinished requests");
        assertEquals(0, simulation.duplicateAnswers, "duplicate answers");
        assertEquals(0, simulation.unansweredInTime, "attempts without an answer in time");
        assertEquals(0, simulation.loadsRunTwice(), "loads run twice");
        assertEquals(0, simulation.drainViolations, "attempts sent to draining or removed engines");
    }

    @Test
    void recoversWhenAllEnginesRestartAtOnce() {
        start(1, STANDARD);
        assertTrue(
                simulation.servedWeightShare(8, 3) > 0.95,
                "served share before the outage " + simulation.servedWeightShare(8, 3));
        killAll(Duration.ofSeconds(2));
        simulation.scheduler.run(Duration.ofSeconds(12));
        restartEngines(Duration.ZERO);
        simulation.scheduler.run(Duration.ofSeconds(25));
        assertTrue(
                simulation.servedWeightShare(12, 6) > 0.9,
                "served share after the restart " + simulation.servedWeightShare(12, 6));
        assertEquals(0, simulation.coldCrashes);
        endAndCheck();
    }

    @Test
    void recoversWhenEnginesRestartOneByOne() {
        start(2, STANDARD);
        killAll(Duration.ofSeconds(2));
        simulation.scheduler.run(Duration.ofSeconds(8));
        restartEngines(Duration.ofSeconds(2));
        simulation.scheduler.run(Duration.ofSeconds(35));
        assertTrue(
                simulation.servedWeightShare(12, 6) > 0.9,
                "served share after the restart " + simulation.servedWeightShare(12, 6));
        assertEquals(0, simulation.coldCrashes);
        endAndCheck();
    }

    @Test
    void recoversFromSecondOutageDuringRecovery() {
        start(3, STANDARD);
        killAll(Duration.ofSeconds(2));
        simulation.scheduler.run(Duration.ofSeconds(8));
        restartEngines(Duration.ZERO);
        simulation.scheduler.run(Duration.ofSeconds(5));
        killAll(Duration.ofSeconds(2));
        simulation.scheduler.run(Duration.ofSeconds(6));
        restartEngines(Duration.ZERO);
        simulation.scheduler.run(Duration.ofSeconds(25));
        assertTrue(
                simulation.servedWeightShare(12, 6) > 0.9,
                "served share after the restart " + simulation.servedWeightShare(12, 6));
        assertEquals(0, simulation.coldCrashes);
        endAndCheck();
    }

    /**
     * The clients of the killed gateway move to the others; each gateway enforces its share of the cold engine limit by
     * itself.
     */
    @Test
    void recoversWhenGatewayRestartsDuringRetryStorm() {
        start(4, STANDARD);
        killAll(Duration.ofSeconds(2));
        simulation.scheduler.run(Duration.ofSeconds(6));
        RetryStormSimulation.VirtualGateway killedGateway = simulation.gateways.remove(0);
        killedGateway.restart();
        restartEngines(Duration.ZERO);
        simulation.scheduler.run(Duration.ofSeconds(4));
        killedGateway.restart();
        simulation.gateways.add(0, killedGateway);
        simulation.scheduler.run(Duration.ofSeconds(25));
        assertTrue(
                simulation.servedWeightShare(12, 6) > 0.85,
                "served share after the restart " + simulation.servedWeightShare(12, 6));
        assertEquals(0, simulation.coldCrashes);
        endAndCheck();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 1})
    void recoversWhetherOrNotClientsHonourRetryAfter(double share) {
        start(5, new RetryStormSimulation.ClientBehavior(2, Duration.ZERO, share));
        killAll(Duration.ofSeconds(2));
        simulation.scheduler.run(Duration.ofSeconds(10));
        restartEngines(Duration.ZERO);
        simulation.scheduler.run(Duration.ofSeconds(25));
        assertTrue(
                simulation.servedWeightShare(12, 6) > 0.9,
                "served share after the restart " + simulation.servedWeightShare(12, 6));
        assertEquals(0, simulation.coldCrashes);
        endAndCheck();
    }

    /** The endpoint list keeps killed engines until they are restarted: refused connections do not count as service. */
    @Test
    void recoversWithStaleEndpointList() {
        start(6, STANDARD);
        killAll(Duration.ofSeconds(14));
        simulation.scheduler.run(Duration.ofSeconds(12));
        restartEngines(Duration.ZERO);
        simulation.scheduler.run(Duration.ofSeconds(25));
        assertTrue(
                simulation.servedWeightShare(12, 6) > 0.9,
                "served share after the restart " + simulation.servedWeightShare(12, 6));
        assertEquals(0, simulation.coldCrashes);
        endAndCheck();
    }

    /** After a pause of 2 s all due timers run at once; overdue answers are late, but each arrives exactly once. */
    @Test
    void answersOnceAfterProcessPause() {
        start(7, STANDARD);
        killAll(Duration.ofSeconds(2));
        simulation.scheduler.run(Duration.ofSeconds(8));
        restartEngines(Duration.ZERO);
        simulation.scheduler.run(Duration.ofSeconds(4));
        simulation.scheduler.freeze(Duration.ofSeconds(2));
        simulation.scheduler.run(Duration.ofSeconds(25));
        assertTrue(
                simulation.servedWeightShare(12, 6) > 0.9,
                "served share after the restart " + simulation.servedWeightShare(12, 6));
        assertEquals(0, simulation.coldCrashes);
        simulation.unansweredInTime = 0; // could not be answered while the process was paused
        endAndCheck();
    }

    /** An engine crashes again during recovery: each of its queries ends once, and service goes on. */
    @Test
    void recoversWhenOneEngineCrashesAgain() {
        start(8, STANDARD);
        killAll(Duration.ofSeconds(2));
        simulation.scheduler.run(Duration.ofSeconds(8));
        restartEngines(Duration.ZERO);
        simulation.scheduler.run(Duration.ofSeconds(4));
        RetryStormSimulation.Engine crashed =
                simulation.engines.values().iterator().next();
        crashed.kill();
        simulation.scheduler.scheduleAfter(
                Duration.ofSeconds(3), () -> simulation.publish(crashed, EngineStatus.REMOVED));
        simulation.scheduler.run(Duration.ofSeconds(25));
        assertTrue(
                simulation.servedWeightShare(12, 6) > 0.9,
                "served share after the restart " + simulation.servedWeightShare(12, 6));
        assertEquals(0, simulation.coldCrashes);
        endAndCheck();
    }

    /** Random outages, list delays and client behavior: each attempt has one answer, and no load runs twice. */
    @Property(seed = "31", tries = 6)
    void rulesHoldInRandomOutages(
            @ForAll @LongRange(min = 0, max = 1000) long seed,
            @ForAll @IntRange(min = 0, max = 2) int retries,
            @ForAll @IntRange(min = 0, max = 8) int survivors,
            @ForAll @IntRange(min = 500, max = 6000) int listDelayMs) {
        start(
                seed,
                new RetryStormSimulation.ClientBehavior(retries, Duration.ofMillis(seed % 2 * 200), seed % 10 / 10.0));
        List<RetryStormSimulation.Engine> killed =
                new ArrayList<>(simulation.engines.values()).subList(0, 8 - survivors);
        for (RetryStormSimulation.Engine e : List.copyOf(killed)) {
            e.kill();
            simulation.scheduler.scheduleAfter(
                    Duration.ofMillis(listDelayMs), () -> simulation.publish(e, EngineStatus.REMOVED));
        }
        simulation.scheduler.run(Duration.ofSeconds(5));
        restartEngines(Duration.ofMillis(seed % 3 * 700));
        simulation.scheduler.run(Duration.ofSeconds(12));
        assertEquals(0, simulation.coldCrashes, "cold crashes");
        endAndCheck();
    }

    /** The same seed gives the same run, so that a failure can be reproduced. */
    @Test
    void sameSeedGivesSameRun() {
        List<Object> seen = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            start(9, STANDARD);
            killAll(Duration.ofSeconds(2));
            simulation.scheduler.run(Duration.ofSeconds(5));
            restartEngines(Duration.ZERO);
            simulation.scheduler.run(Duration.ofSeconds(8));
            seen.add(simulation.answers + " " + simulation.attempts);
        }
        assertEquals(seen.get(0), seen.get(1));
    }
}
