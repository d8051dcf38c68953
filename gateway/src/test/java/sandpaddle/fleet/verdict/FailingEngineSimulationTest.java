package sandpaddle.fleet.verdict;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares ejection by the verdicts of the fleet with ejection by each gateway's own outcomes. */
class FailingEngineSimulationTest {
    /** With verdicts, the last gateway may use the recovered engine again up to 2 s later. */
    @ParameterizedTest
    @CsvSource({"9,false", "9,true", "30,false", "30,true"})
    void verdictsCauseFewerFailedQueriesTrialsAndHealthChecksThanLocalEjection(int gateways, boolean isUnresponsive) {
        FailingEngineSimulation.Result local = FailingEngineSimulation.run(gateways, false, isUnresponsive, 5, 7);
        FailingEngineSimulation.Result withVerdicts = FailingEngineSimulation.run(gateways, true, isUnresponsive, 5, 7);
        System.out.printf(
                "%d gateways, %s: local ejection %s, verdicts %s%n",
                gateways, isUnresponsive ? "unresponsive" : "failing", local, withVerdicts);
        assertTrue(withVerdicts.failedQueries() < local.failedQueries(), "failed queries");
        assertTrue(withVerdicts.trials() < local.trials(), "trials");
        assertTrue(
                withVerdicts.trials() + withVerdicts.healthChecks() < local.trials() + local.healthChecks(),
                "trials and health checks");
        assertTrue(
                withVerdicts.recoveryUs() <= local.recoveryUs() + 2_000_000,
                "used again by all after " + withVerdicts.recoveryUs() + " us");
    }
}
