package sandpaddle.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleBiFunction;
import org.junit.jupiter.api.Test;

/** Tests that known forms, slopes and ranges are recovered from synthetic data with noise. */
class SeriesAnalysisTest {
    private static final SeriesName BYTES = new SeriesName("star", "leader", "bytesInPerSecond");
    private static final int REPEATS = 5;
    private static final double NOISE = 0.02;

    /** Draws a sweep over gateways and one over limits around (100, 64), five repeats per point with 2% noise. */
    private static List<Sample> drawSamples(ToDoubleBiFunction<Double, Double> truth, String version) {
        SplittableRandom random = new SplittableRandom(7);
        List<Sample> samples = new ArrayList<>();
        double[][] points = {
            {25, 64}, {50, 64}, {100, 64}, {200, 64}, {400, 64}, {100, 16}, {100, 32}, {100, 128}, {100, 256}
        };
        for (double[] point : points) {
            for (int i = 0; i < REPEATS; i++) {
                double noiseFactor = 1 + NOISE * random.nextGaussian();
                samples.add(sample(
                        point[0], point[1], noiseFactor * truth.applyAsDouble(point[0], point[1]), version, "bytes/s"));
            }
        }
        return samples;
    }

    private static Sample sample(double gateways, double limits, double value, String version, String unit) {
        return new Sample(
                BYTES, version, Map.of(Axis.GATEWAYS, gateways, Axis.LIMITS, limits, Axis.ENGINES, 200.0), value, unit);
    }

    private static Model model(ToDoubleBiFunction<Double, Double> truth) throws InsufficientDataException {
        return SeriesAnalysis.of(BYTES, drawSamples(truth, "v1"));
    }

    @Test
    void selectsProductOfTwoSizes() throws InsufficientDataException {
        Model m = model((n, l) -> 500 + 40 * n * l);
        assertEquals(
                new Form(List.of(List.of(Axis.GATEWAYS, Axis.LIMITS))), m.fit().form());
        assertEquals(40, m.fit().slope(0), 4 * m.fit().slopeStandardError(0).orElseThrow());
        assertEquals(40, m.fit().slope(0), 1);
        assertTrue(m.formHolds(), m.predictions().toString());
        assertEquals(
                Set.of(Axis.GATEWAYS, Axis.LIMITS),
                Set.copyOf(m.predictions().stream().map(Prediction::axis).toList()));
        double plannedValue = 40.0 * PlannedFleet.GATEWAYS * PlannedFleet.LIMITS;
        assertEquals(plannedValue, m.projected().estimate().value(), 0.05 * plannedValue);
        assertTrue(m.projected().estimate().low().orElseThrow()
                < m.projected().estimate().value());
        assertEquals(Model.Basis.EXTRAPOLATED, m.projected().basis());
        assertEquals(Map.of(Axis.ENGINES, 200.0), m.held());
    }

    @Test
    void selectsConstantForNoGrowth() throws InsufficientDataException {
        Model m = model((n, l) -> 700.0);
        assertEquals(Form.CONSTANT, m.fit().form());
        assertEquals(700, m.projected().estimate().value(), 20);
        assertEquals("constant", m.form());
    }

    @Test
    void selectsTheOnlyRelevantAxis() throws InsufficientDataException {
        Model m = model((n, l) -> 90 + 3 * n);
        assertEquals(new Form(List.of(List.of(Axis.GATEWAYS))), m.fit().form());
        assertEquals(3, m.fit().slope(0), 0.1);
        assertTrue(m.form().startsWith("linear in N ("), m.form());
    }

    @Test
    void selectsSquareTerm() throws InsufficientDataException {
        Model m = model((n, l) -> 10 + 2 * n * n);
        assertEquals(
                new Form(List.of(List.of(Axis.GATEWAYS, Axis.GATEWAYS))),
                m.fit().form());
        assertTrue(m.formHolds(), m.predictions().toString());
    }

    @Test
    void rejectsFormThatMissesTheLargestSize() throws InsufficientDataException {
        Model m = model((n, l) -> n < 400 ? 90 + 3 * n : 20_000);
        assertFalse(m.formHolds());
        Prediction missed =
                m.predictions().stream().filter(p -> !p.holds()).findFirst().orElseThrow();
        assertEquals(Axis.GATEWAYS, missed.axis());
        assertEquals(90 + 3 * 400, missed.predicted(), 60, "fitted without the largest");
        assertEquals(20_000, missed.measured(), 1_000);
    }

    @Test
    void rejectsNegativeProjection() throws InsufficientDataException {
        Model m = model((n, l) -> 1000 - n);
        assertTrue(m.projected().estimate().value() < 0);
        assertTrue(
                m.predictions().stream().allMatch(Prediction::holds),
                m.predictions().toString());
        assertFalse(m.formHolds());
    }

    @Test
    void resultIsIdenticalForShuffledSamples() throws InsufficientDataException {
        List<Sample> samples = drawSamples((n, l) -> 500 + 40 * n * l, "v1");
        Model sortedModel = SeriesAnalysis.of(BYTES, samples);
        List<Sample> shuffled = new ArrayList<>(samples);
        Collections.shuffle(shuffled, new Random(3));
        Model shuffledModel = SeriesAnalysis.of(BYTES, shuffled);
        assertEquals(sortedModel.projected(), shuffledModel.projected());
        assertEquals(sortedModel.predictions(), shuffledModel.predictions());
        assertEquals(sortedModel.fit().slope(0), shuffledModel.fit().slope(0));
    }

    @Test
    void cpuSeriesHaveALargerTolerance() {
        SeriesName cpu = new SeriesName("star", "leader", "cpuByThread.fleet");
        Prediction p = new Prediction(cpu, Form.CONSTANT, Axis.GATEWAYS, Map.of(), 1.4, 1);
        assertTrue(p.holds());
        assertFalse(new Prediction(BYTES, Form.CONSTANT, Axis.GATEWAYS, Map.of(), 1.4, 1).holds());
    }

    @Test
    void rejectsTwoSizes() {
        List<Sample> samples = List.of(sample(25, 64, 1, "v1", "bytes/s"), sample(50, 64, 2, "v1", "bytes/s"));
        InsufficientDataException e =
                assertThrows(InsufficientDataException.class, () -> SeriesAnalysis.of(BYTES, samples));
        assertTrue(e.getMessage().startsWith("too few sizes"), e.getMessage());
    }

    @Test
    void holdsAxisWithTwoSizes() throws InsufficientDataException {
        List<Sample> samples = new ArrayList<>(drawSamples((n, l) -> 90 + 3 * n, "v1"));
        samples.removeIf(s -> s.size(Axis.LIMITS) == 16 || s.size(Axis.LIMITS) == 32 || s.size(Axis.LIMITS) == 128);
        Model m = SeriesAnalysis.of(BYTES, samples);
        assertEquals(64, m.held().get(Axis.LIMITS));
        assertTrue(
                m.notes().toString().contains("2 sizes of L are too few"),
                m.notes().toString());
    }

    @Test
    void holdsSecondAxisAfterSamplesOfTheFirstAreRemoved() {
        List<Sample> samples = List.of(
                sample(25, 64, 1, "v1", "bytes/s"),
                sample(25, 64, 1, "v1", "bytes/s"),
                sample(50, 64, 2, "v1", "bytes/s"),
                sample(100, 16, 3, "v1", "bytes/s"));
        InsufficientDataException e =
                assertThrows(InsufficientDataException.class, () -> SeriesAnalysis.of(BYTES, samples));
        assertTrue(e.getMessage().contains("2 sizes of L are too few: held at 64"), e.getMessage());
        assertTrue(e.getMessage().contains("2 sizes of N are too few: held at 25"), e.getMessage());
    }

    @Test
    void fitsOnlyOneVersion() throws InsufficientDataException {
        List<Sample> samples = new ArrayList<>(drawSamples((n, l) -> 90 + 3 * n, "v1"));
        samples.add(sample(800, 64, 9e9, "v2", "bytes/s"));
        Model m = SeriesAnalysis.of(BYTES, samples);
        assertEquals(3, m.fit().slope(0), 0.1);
        assertEquals(List.of("1 of version v2 left out beside version v1"), m.notes());
    }

    @Test
    void rejectsVersionsWithTooFewSizesEach() {
        List<Sample> samples = List.of(
                sample(25, 64, 1, "v1", "bytes/s"),
                sample(50, 64, 2, "v1", "bytes/s"),
                sample(100, 64, 4, "v2", "bytes/s"));
        InsufficientDataException e =
                assertThrows(InsufficientDataException.class, () -> SeriesAnalysis.of(BYTES, samples));
        assertTrue(e.getMessage().contains("version v2"), e.getMessage());
    }

    @Test
    void rejectsMixedUnits() {
        List<Sample> samples =
                List.of(sample(25, 64, 1, "v1", "ms"), sample(50, 64, 2, "v1", "us"), sample(100, 64, 4, "v1", "us"));
        InsufficientDataException e =
                assertThrows(InsufficientDataException.class, () -> SeriesAnalysis.of(BYTES, samples));
        assertEquals("measured in different units: ms, us", e.getMessage());
    }

    @Test
    void removesPointWithScatteredRepeats() throws InsufficientDataException {
        List<Sample> samples = new ArrayList<>(drawSamples((n, l) -> 90 + 3 * n, "v1"));
        samples.add(sample(400, 64, 100_000, "v1", "bytes/s"));
        Model m = SeriesAnalysis.of(BYTES, samples);
        assertTrue(
                m.notes().get(0).startsWith("not measured at N 400"), m.notes().toString());
        assertTrue(m.predictions().stream().noneMatch(p -> p.sizes().get(Axis.GATEWAYS) == 400));
    }

    @Test
    void usesMeasurementAtPlannedSizeWithoutForm() throws InsufficientDataException {
        SeriesName cost = new SeriesName(Measurements.PATH, "gateway", "choice-cpu");
        List<Sample> samples = new ArrayList<>();
        for (double repeat : new double[] {5000, 5100, 5300}) {
            samples.add(new Sample(cost, "v1", Map.of(Axis.ENGINES, (double) PlannedFleet.ENGINES), repeat, "us"));
        }
        Model m = SeriesAnalysis.of(cost, samples);
        assertEquals(Model.Basis.MEASURED, m.projected().basis());
        assertEquals(5100, m.projected().estimate().value());
        assertEquals(5000, m.projected().estimate().low().orElseThrow());
        assertEquals(List.of("fewest repeats of a point: 3"), m.notes());
    }

    @Test
    void rejectsTooFewSamplesForTheSlopes() {
        Form line = new Form(List.of(List.of(Axis.GATEWAYS)));
        assertThrows(InsufficientDataException.class, () -> Fit.of(line, List.of(sample(1, 1, 1, "v1", "ms"))));
        List<Sample> oneSize =
                List.of(sample(5, 1, 1, "v1", "ms"), sample(5, 1, 2, "v1", "ms"), sample(5, 1, 3, "v1", "ms"));
        assertThrows(InsufficientDataException.class, () -> Fit.of(line, oneSize));
    }
}
