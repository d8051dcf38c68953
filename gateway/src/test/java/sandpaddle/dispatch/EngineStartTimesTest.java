package sandpaddle.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sandpaddle.decision.Micros;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineStatus;

/** Start times of engines on the event loop's clock, from lists by another clock. */
public class EngineStartTimesTest {
    private static final Instant PROCESS_START = Instant.EPOCH.plus(Duration.ofDays(1));
    private static final Instant DISCOVERY_START = Instant.parse("2026-01-01T00:00:00Z");

    private final EngineStartTimes startTimes = withWallClockAhead(Duration.ofHours(-1));

    private static EngineStartTimes withWallClockAhead(Duration error) {
        return new EngineStartTimes(DISCOVERY_START.plus(error), PROCESS_START);
    }

    private static EngineEntry engine(String id, Duration start) {
        long startUs = Micros.of(DISCOVERY_START.plus(start));
        return new EngineEntry(id, 0, 0, 0, EngineStatus.UP, 1, startUs);
    }

    private List<Instant> estimate(boolean isFullList, Duration now, EngineEntry... entries) {
        return startTimes.estimate(List.of(entries), isFullList, PROCESS_START.plus(now)).stream()
                .map(entry -> Micros.instant(entry.startedUs()))
                .toList();
    }

    private static Duration seconds(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    /** Errors of the wall clock at the start of the process, in seconds. */
    @DataProvider
    public Object[][] wallClockErrors() {
        return Stream.of(-3600, -400, -20, -3, 0, 3, 20, 400, 3600)
                .map(seconds -> new Object[] {seconds})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "wallClockErrors")
    public void startedEngineIsNotTakenForMuchOlderWithAnyWallClock(int errorSeconds) {
        SplittableRandom random = new SplittableRandom(39);
        for (int run = 0; run < 200; run++) {
            EngineStartTimes startTimes = withWallClockAhead(Duration.ofSeconds(errorSeconds));
            Duration now = Duration.ZERO;
            for (int i = 0; i < 100; i++) {
                now = now.plusMillis(random.nextInt(3000));
                Duration delay = Duration.ofMillis(random.nextInt(8000));
                List<EngineEntry> started = new ArrayList<>(List.of(engine("e" + i, now.minus(delay))));
                if (random.nextBoolean()) {
                    started.add(engine("f" + i, now.minus(delay).minusMillis(random.nextInt(10_000))));
                }
                for (EngineEntry entry : startTimes.estimate(started, false, PROCESS_START.plus(now))) {
                    Duration trueStart = Duration.between(DISCOVERY_START, Micros.instant(entry.listedStartUs()));
                    Duration late = Duration.between(PROCESS_START.plus(trueStart), Micros.instant(entry.startedUs()));
                    boolean isWithinBounds = late.compareTo(seconds(-5)) >= 0 && late.compareTo(delay) <= 0;
                    assertTrue(isWithinBounds, "late by " + late + " of " + delay);
                }
            }
        }
    }

    @Test
    public void startsAreExactOnceTheWallClockHasProvenRight() {
        EngineStartTimes startTimes = withWallClockAhead(Duration.ZERO);
        startTimes.estimate(List.of(engine("e", seconds(7))), false, PROCESS_START.plus(seconds(10)));
        EngineEntry late = engine("f", seconds(12));
        assertEquals(
                startTimes
                        .estimate(List.of(late), false, PROCESS_START.plus(seconds(20)))
                        .get(0)
                        .startedUs(),
                Micros.of(PROCESS_START.plus(seconds(12))));
    }

    @Test
    public void startedEngineIsNotTakenForWarmAtAStartOnAMachineWithAnyWallClock() {
        assertEquals(
                estimate(true, Duration.ZERO, engine("old", seconds(-100)), engine("new", seconds(-2))),
                List.of(PROCESS_START.minus(seconds(98)), PROCESS_START));
    }

    @Test
    public void engineKeepsItsStartWhenItIsListedAgain() {
        EngineEntry engine = engine("e", seconds(0));
        Instant first = estimate(true, seconds(1), engine).get(0);
        assertEquals(estimate(true, seconds(500), engine).get(0), first);
        assertEquals(estimate(false, seconds(900), engine).get(0), first);
    }

    @Test
    public void engineThatStartedLongAgoHasNoStartTime() {
        EngineEntry engine = new EngineEntry("e", 0, 0, 0, EngineStatus.UP, 1, 0);
        assertEquals(estimate(true, seconds(1), engine), List.of(Instant.EPOCH));
    }

    @Test
    public void startIsRecentAlthoughTheClockOfTheListWasSetBack() {
        estimate(false, seconds(1), engine("e", seconds(1)));
        Duration setBack = Duration.ofHours(-1);
        Instant start = estimate(false, seconds(5), engine("f", seconds(5).plus(setBack)))
                .get(0);
        assertEquals(start, PROCESS_START.plus(seconds(5)));
        Instant next = estimate(false, seconds(9), engine("g", seconds(8).plus(setBack)))
                .get(0);
        assertEquals(ChronoUnit.SECONDS.between(PROCESS_START, next), 8);
    }

    @Test
    public void removedEngineIsForgotten() {
        EngineEntry removed = new EngineEntry(
                "e", 0, 0, 0, EngineStatus.REMOVED, 1, engine("e", seconds(1)).startedUs());
        Instant first = estimate(false, seconds(1), engine("e", seconds(1))).get(0);
        assertEquals(estimate(false, seconds(2), removed).get(0), first);
        Instant again = estimate(false, seconds(100), engine("e", seconds(1))).get(0);
        assertEquals(again, PROCESS_START.plus(seconds(100)));
    }
}
