package sandpaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {
    private static final int LOOKUP = 0;
    private static final int REPORT = 1;
    private static final double CORES = 24;

    private final AdmissionController controller =
            new AdmissionController(OverloadFixture.SETTINGS, OverloadSettings.OFF.admissionLimits(), 0);
    private long nowUs;

    private boolean tryAdmit(int classIndex, AdmissionController.Kind kind) {
        return controller.tryAdmit(classIndex, kind, controller.usualWorkUs(classIndex));
    }

    private void refill(long elapsedUs, double cores) {
        nowUs += elapsedUs;
        controller.refill(nowUs, timeUs -> cores);
    }

    private int admitAll(int classIndex, AdmissionController.Kind kind, int times) {
        int admitted = 0;
        for (int i = 0; i < times; i++) {
            if (tryAdmit(classIndex, kind)) {
                controller.enqueued(classIndex, controller.usualWorkUs(classIndex));
                admitted++;
            }
        }
        return admitted;
    }

    @Test
    void rejectsWhenExpectedWaitIsTooLongLateRetriesEarlier() {
        refill(1000, CORES);
        int firstArrivals = admitAll(LOOKUP, AdmissionController.Kind.FIRST_ARRIVAL, 10_000);
        assertTrue(firstArrivals > 5 && firstArrivals < 1000, "admitted " + firstArrivals);
        assertFalse(tryAdmit(LOOKUP, AdmissionController.Kind.FIRST_ARRIVAL));
        AdmissionController lateController =
                new AdmissionController(OverloadFixture.SETTINGS, OverloadSettings.OFF.admissionLimits(), 0);
        lateController.refill(1000, timeUs -> CORES);
        int lateRetries = 0;
        while (lateController.tryAdmit(
                LOOKUP, AdmissionController.Kind.LATE_RETRY, lateController.usualWorkUs(LOOKUP))) {
            lateController.enqueued(LOOKUP, lateController.usualWorkUs(LOOKUP));
            lateRetries++;
        }
        assertTrue(
                lateRetries < firstArrivals / 4, "late retries " + lateRetries + ", first arrivals " + firstArrivals);
    }

    @Test
    void admitsTwiceAsMuchWithTwiceTheCores() {
        refill(1000, CORES);
        int admitted = admitAll(LOOKUP, AdmissionController.Kind.FIRST_ARRIVAL, 10_000);
        AdmissionController largerFleet =
                new AdmissionController(OverloadFixture.SETTINGS, OverloadSettings.OFF.admissionLimits(), 0);
        largerFleet.refill(1000, timeUs -> 2 * CORES);
        int admittedByLargerFleet = 0;
        while (largerFleet.tryAdmit(LOOKUP, AdmissionController.Kind.FIRST_ARRIVAL, largerFleet.usualWorkUs(LOOKUP))) {
            largerFleet.enqueued(LOOKUP, largerFleet.usualWorkUs(LOOKUP));
            admittedByLargerFleet++;
        }
        assertEquals(2.0, (double) admittedByLargerFleet / admitted, 0.2);
    }

    /** Lookups have the shorter objective and are sent before queued reports, so reports must not delay them. */
    @Test
    void admitsClassWithShorterObjectiveBesideLongQueue() {
        refill(1000, CORES);
        assertTrue(admitAll(REPORT, AdmissionController.Kind.FIRST_ARRIVAL, 1000) < 1000);
        assertTrue(tryAdmit(LOOKUP, AdmissionController.Kind.FIRST_ARRIVAL));
    }

    /** A request that was overtaken is held back by its size, so it must not keep all others out. */
    @Test
    void requestStopsCountingOnceOvertaken() {
        refill(1000, CORES);
        AdmissionController.QueuedRequest heavy = controller.enqueued(LOOKUP, 50e6);
        for (int reserveAdmissions = 0; tryAdmit(LOOKUP, AdmissionController.Kind.FIRST_ARRIVAL); reserveAdmissions++) {
            assertTrue(reserveAdmissions < 5, "admitted more than the reserve");
        }
        AdmissionController.QueuedRequest light = controller.enqueued(LOOKUP, 1000);
        controller.sent(nowUs, 1000, light);
        assertEquals(0, controller.queuedWorkUs());
        assertTrue(tryAdmit(LOOKUP, AdmissionController.Kind.FIRST_ARRIVAL));
        controller.removed(heavy);
        assertEquals(0, controller.queuedWorkUs());
    }

    /** Guards against starvation: each kind is admitted at its reserved share, however long the queue is. */
    @Test
    void admitsLateRetriesAtReservedShareWhileQueueIsFull() {
        refill(1000, CORES);
        admitAll(LOOKUP, AdmissionController.Kind.FIRST_ARRIVAL, 10_000);
        admitAll(REPORT, AdmissionController.Kind.FIRST_ARRIVAL, 10_000);
        int[] reserveAdmissions = new int[2];
        for (int i = 0; i < 200; i++) {
            refill(100_000, CORES);
            reserveAdmissions[0] += tryAdmit(LOOKUP, AdmissionController.Kind.LATE_RETRY) ? 1 : 0;
            reserveAdmissions[1] += tryAdmit(REPORT, AdmissionController.Kind.LATE_RETRY) ? 1 : 0;
        }
        double share = OverloadSettings.OFF.admissionLimits().reserveShare() * controller.sendRateUsPerS() * 20;
        assertEquals(share / controller.usualWorkUs(LOOKUP), reserveAdmissions[0], 3);
        assertEquals(share / controller.usualWorkUs(REPORT), reserveAdmissions[1], 2);
    }

    @Test
    void rejectsEverythingBeforeFirstEngineIsListed() {
        refill(1000, 0);
        assertFalse(tryAdmit(LOOKUP, AdmissionController.Kind.FIRST_ARRIVAL));
    }

    @Property(seed = "14", tries = 300)
    void queuedWorkCountsEachRequestOnceAndIsNeverNegative(
            @ForAll @Size(max = 300) List<@IntRange(max = 999) Integer> steps) {
        AdmissionController drawn =
                new AdmissionController(OverloadFixture.SETTINGS, OverloadSettings.OFF.admissionLimits(), 0);
        ArrayDeque<AdmissionController.QueuedRequest> queued = new ArrayDeque<>();
        List<AdmissionController.QueuedRequest> left = new ArrayList<>();
        long atUs = 0;
        for (int step : steps) {
            atUs += step * 100L;
            drawn.refill(atUs, timeUs -> CORES);
            if (step % 3 == 0) {
                queued.add(drawn.enqueued(step % 2, 1000 + step));
            } else if (!queued.isEmpty()) {
                AdmissionController.QueuedRequest request = step % 2 == 0 ? queued.pollFirst() : queued.pollLast();
                if (step % 3 == 1) {
                    drawn.sent(atUs, 1000, request);
                } else {
                    drawn.removed(request);
                }
                left.add(request);
            }
            left.forEach(drawn::removed); // a repeated removal has no effect
            assertTrue(drawn.queuedWorkUs() >= 0);
        }
        queued.forEach(drawn::removed);
        assertEquals(0, drawn.queuedWorkUs(), 1e-6);
    }
}
