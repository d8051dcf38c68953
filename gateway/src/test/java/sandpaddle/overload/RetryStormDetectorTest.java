package sandpaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RetryStormDetectorTest {
    private static final OverloadSettings.Detection SETTINGS = OverloadSettings.OFF.detection();
    private static final long TICK_US = 100_000;

    private final RetryStormDetector detector = new RetryStormDetector(SETTINGS, 0);
    private final List<OverloadPhase> changes = new ArrayList<>();
    private long nowUs;

    /** Runs the detector on constant rates of arrivals and answers. */
    private void run(
            double seconds,
            double firstArrivalsPerS,
            double retriesPerS,
            double successesPerS,
            double failuresPerS,
            double reachableShare) {
        double[] pendingEvents = new double[4];
        double[] ratesPerS = {firstArrivalsPerS, retriesPerS, successesPerS, failuresPerS};
        for (int i = 0; i < Math.round(seconds * 1e6 / TICK_US); i++) {
            nowUs += TICK_US;
            for (int kind = 0; kind < ratesPerS.length; kind++) {
                for (pendingEvents[kind] += ratesPerS[kind] * TICK_US / 1e6;
                        pendingEvents[kind] >= 1;
                        pendingEvents[kind]--) {
                    record(kind);
                }
            }
            RetryStormDetector.Change change = detector.evaluate(nowUs, reachableShare);
            if (change != null) {
                changes.add(change.to());
            }
        }
    }

    private void record(int kind) {
        switch (kind) {
            case 0 -> detector.recordArrival(nowUs, false);
            case 1 -> detector.recordArrival(nowUs, true);
            case 2 -> detector.recordAnswer(nowUs, true);
            default -> detector.recordAnswer(nowUs, false);
        }
    }

    @Test
    void retriesOfRejectedQueriesAreStorm() {
        run(20, 30, 0, 30, 0, 1);
        run(2, 30, 40, 20, 50, 1);
        assertEquals(List.of(OverloadPhase.STORM), changes.subList(0, 1));
    }

    /** A surge to three times the usual demand is no storm, though a fifth of the queries is rejected and retried. */
    @Test
    void surgeOfFirstArrivalsIsNoStorm() {
        run(20, 30, 0, 30, 0, 1);
        run(30, 90, 0, 90, 0, 1);
        run(30, 90, 18, 86, 22, 1);
        assertEquals(List.of(), changes);
    }

    /** Even if most of a surge is rejected and retried once, first arrivals make up most of the excess. */
    @Test
    void surgeBeyondCapacityIsNoStormWhileFirstArrivalsDominate() {
        run(20, 30, 0, 30, 0, 1);
        run(20, 150, 55, 90, 115, 1);
        assertEquals(List.of(), changes);
    }

    @Test
    void outageIsStormBeforeFirstRetries() {
        run(20, 30, 0, 30, 0, 1);
        run(2, 30, 0, 0, 30, 0);
        assertEquals(List.of(OverloadPhase.STORM), changes);
    }

    @Test
    void recoversOnceEnginesRespondAndEndsOnceRetriesStop() {
        run(20, 30, 0, 30, 0, 1);
        run(5, 30, 50, 0, 80, 0);
        run(3, 30, 50, 20, 60, 1);
        assertEquals(List.of(OverloadPhase.STORM, OverloadPhase.RECOVERING), changes);
        run(4, 30, 0, 30, 0, 1);
        assertEquals(2, changes.size(), "normal operation is entered only after exitUs");
        run(4, 30, 0, 30, 0, 1);
        assertEquals(List.of(OverloadPhase.STORM, OverloadPhase.RECOVERING, OverloadPhase.CALM), changes);
    }

    @Test
    void secondOutageDuringRecoveryIsStorm() {
        run(20, 30, 0, 30, 0, 1);
        run(5, 30, 50, 0, 80, 0);
        run(3, 30, 50, 20, 60, 1);
        run(3, 30, 50, 0, 80, 0);
        assertEquals(List.of(OverloadPhase.STORM, OverloadPhase.RECOVERING, OverloadPhase.STORM), changes);
        run(3, 30, 50, 20, 60, 1);
        assertEquals(OverloadPhase.RECOVERING, detector.phase());
    }

    /** Hysteresis: shares between the bounds for entry and exit change neither phase. */
    @Test
    void phaseStaysWhileSharesAreBetweenBounds() {
        run(20, 30, 0, 30, 0, 1);
        run(20, 30, 7, 28, 9, 1);
        assertEquals(List.of(), changes);
        run(5, 30, 50, 0, 80, 0);
        run(3, 30, 50, 20, 60, 1);
        run(20, 30, 7, 28, 9, 1);
        assertEquals(OverloadPhase.RECOVERING, detector.phase());
    }

    /** The process was paused for 2 s: the signals of the first evaluation after it have not held for long enough. */
    @Test
    void pauseOfProcessDoesNotCountAsDurationOfSignals() {
        run(20, 30, 0, 30, 0, 1);
        nowUs += 2_000_000;
        for (int i = 0; i < 100; i++) {
            detector.recordAnswer(nowUs, false);
            detector.recordArrival(nowUs, i % 2 == 0);
        }
        assertNull(detector.evaluate(nowUs, 1));
        run(0.3, 30, 0, 30, 0, 1);
        assertEquals(List.of(), changes);
    }

    /** A gateway that was restarted during a storm has no usual rate yet: the share of retries must suffice. */
    @Test
    void detectsStormWithoutUsualRate() {
        run(3, 30, 40, 0, 70, 1);
        assertEquals(OverloadPhase.STORM, detector.phase());
    }

    @Test
    void stormEndsWithoutTraffic() {
        run(20, 30, 0, 30, 0, 1);
        run(5, 30, 50, 0, 80, 0);
        run(15, 0, 0, 0, 0, 1);
        assertEquals(OverloadPhase.CALM, detector.phase());
    }
}
