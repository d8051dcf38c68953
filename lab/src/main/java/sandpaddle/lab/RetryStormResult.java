package sandpaddle.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The figures of one run, as counted by the load generator and the engines. Times are Unix microseconds. */
final class RetryStormResult {
    private static final long RECOVERY_WINDOW_S = 5;
    static final double RECOVERED_SHARE = 0.9; // of the demanded priority weight, earned over the window

    private final RetryStormExperiment.Plan plan;
    private final ClientStatistics statistics;
    private final long measureFromUs, outageUs, restoredUs, measureUntilUs;
    private final double cpuMsPerAttempt;

    RetryStormResult(
            RetryStormExperiment.Plan plan,
            ClientStatistics statistics,
            long measureFromUs,
            long outageUs,
            long restoredUs,
            long measureUntilUs,
            double cpuMsPerAttempt) {
        this.plan = plan;
        this.statistics = statistics;
        this.measureFromUs = measureFromUs;
        this.outageUs = outageUs;
        this.restoredUs = restoredUs;
        this.measureUntilUs = measureUntilUs;
        this.cpuMsPerAttempt = cpuMsPerAttempt;
    }

    /**
     * Seconds from the restart of the engines until the requests of a window earned 0.9 of their priority weight; -1 if
     * never.
     */
    double recoverySeconds() {
        long from = restoredUs / 1_000_000 + 1;
        for (long end = from + RECOVERY_WINDOW_S; restoredUs > 0 && end <= measureUntilUs / 1_000_000; end++) {
            if (servedWeightShare(end - RECOVERY_WINDOW_S, end) >= RECOVERED_SHARE) {
                return end - restoredUs / 1e6;
            }
        }
        return -1;
    }

    /** Share of the demanded priority weight that was earned in a range of seconds. */
    double servedWeightShare(long fromSecond, long untilSecond) {
        double demanded = 0;
        double earned = 0;
        for (ClientStatistics.SecondTotals s :
                statistics.seconds.subMap(fromSecond, untilSecond).values()) {
            demanded += s.demanded;
            earned += s.earned;
        }
        return demanded == 0 ? 0 : earned / demanded;
    }

    private double servedWeightBefore() {
        return servedWeightShare(measureFromUs / 1_000_000, (outageUs > 0 ? outageUs : measureUntilUs) / 1_000_000);
    }

    private double servedWeightAfterReturn() {
        long from = (restoredUs > 0 ? restoredUs : measureFromUs) / 1_000_000;
        return servedWeightShare(from, measureUntilUs / 1_000_000);
    }

    /** Number of duplicate answers, lost attempts, loads run twice, cold crashes and sends to draining engines. */
    long ruleViolations() {
        return statistics.duplicateAnswers
                + statistics.count("lost")
                + statistics.loadsRunTwice()
                + statistics.coldCrashes
                + statistics.drainViolations;
    }

    void write(Path file) throws IOException {
        try (JsonGenerator j =
                new JsonFactory().createGenerator(file.toFile(), com.fasterxml.jackson.core.JsonEncoding.UTF8)) {
            j.setPrettyPrinter(new DefaultPrettyPrinter());
            j.writeStartObject();
            j.writeNumberField("seed", plan.seed());
            j.writeStringField("script", plan.script().name().toLowerCase(Locale.ROOT));
            j.writeBooleanField("damping", plan.operator() != null);
            j.writeNumberField("outageSeconds", plan.times().outage().toMillis() / 1000.0);
            j.writeNumberField("load", plan.load());
            j.writeNumberField("requests", statistics.requests());
            j.writeNumberField("tries", statistics.attempts);
            j.writeObjectFieldStart("answers");
            for (Map.Entry<String, Long> e : statistics.answers.entrySet()) {
                j.writeNumberField(e.getKey(), e.getValue());
            }
            j.writeEndObject();
            j.writeNumberField("secondAnswers", statistics.duplicateAnswers);
            j.writeNumberField("lost", statistics.count("lost"));
            j.writeNumberField("loadsRunTwice", statistics.loadsRunTwice());
            j.writeNumberField("coldFalls", statistics.coldCrashes);
            j.writeNumberField("drainBreaks", statistics.drainViolations);
            j.writeNumberField("recoverySeconds", recoverySeconds());
            j.writeNumberField("worthAfterReturn", servedWeightAfterReturn());
            j.writeNumberField("worthBefore", servedWeightBefore());
            j.writeNumberField("latencyP50Ms", statistics.latency.getValueAtPercentile(50) / 1000.0);
            j.writeNumberField("latencyP99Ms", statistics.latency.getValueAtPercentile(99) / 1000.0);
            j.writeNumberField("gatewayCpuMsPerTry", cpuMsPerAttempt);
            j.writeArrayFieldStart("worthInTime");
            long originSecond = (restoredUs > 0 ? restoredUs : measureFromUs) / 1_000_000;
            for (Map.Entry<Long, ClientStatistics.SecondTotals> e : statistics.seconds.entrySet()) {
                j.writeStartArray();
                j.writeNumber(e.getKey() - originSecond);
                j.writeNumber(Math.round(e.getValue().demanded * 1000) / 1000.0);
                j.writeNumber(Math.round(e.getValue().earned * 1000) / 1000.0);
                j.writeEndArray();
            }
            j.writeEndArray();
            j.writeEndObject();
        }
    }

    /** Draws the share of the priority weight served in time, and the answers by outcome, by second. */
    void charts(Path folder) throws IOException {
        long originSecond = (restoredUs > 0 ? restoredUs : measureFromUs) / 1_000_000;
        double[][] servedShare = statistics.seconds.entrySet().stream()
                .map(e -> new double[] {
                    e.getKey() - originSecond, e.getValue().earned / Math.max(1e-9, e.getValue().demanded)
                })
                .toArray(double[][]::new);
        String title = plan.script().name().toLowerCase(Locale.ROOT) + ", seed " + plan.seed()
                + (plan.operator() == null ? ", overload control off" : ", overload control on");
        Charts.lines(
                folder.resolve("worth.png"),
                title,
                "seconds since the engines restarted",
                "share of the priority weight served in time",
                List.of(new Charts.Line("served in time", servedShare)));
        List<Charts.Line> lines = new ArrayList<>();
        for (String outcome : statistics.answers.keySet()) {
            lines.add(new Charts.Line(
                    outcome,
                    statistics.answersBySecond.entrySet().stream()
                            .map(e -> new double[] {
                                e.getKey() - originSecond, e.getValue().getOrDefault(outcome, 0L)
                            })
                            .toArray(double[][]::new)));
        }
        Charts.lines(
                folder.resolve("answers.png"),
                title,
                "seconds since the engines restarted",
                "answers per second",
                lines);
    }

    /** Returns a summary for the terminal. */
    String summary() {
        return String.format(
                Locale.ROOT,
                """
                requests %d, tries %d, answers %s
                second answers %d, lost %d, loads run twice %d, cold falls %d, drain breaks %d
                service back after %.1f s; worth in time before %.3f, after the return %.3f; p50 %.0f ms, p99 %.0f ms
                gateways' CPU on a try %.2f ms""",
                statistics.requests(),
                statistics.attempts,
                statistics.answers,
                statistics.duplicateAnswers,
                statistics.count("lost"),
                statistics.loadsRunTwice(),
                statistics.coldCrashes,
                statistics.drainViolations,
                recoverySeconds(),
                servedWeightBefore(),
                servedWeightAfterReturn(),
                statistics.latency.getValueAtPercentile(50) / 1000.0,
                statistics.latency.getValueAtPercentile(99) / 1000.0,
                cpuMsPerAttempt);
    }
}
