package sandpaddle.lab.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Resource use of the fleet components of simulated gateways between two samples. Gateways that restarted between the
 * samples are excluded.
 */
final class GatewaySamples {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Rates of one gateway per second.
     *
     * @param cpuCores mean CPU use in cores; empty if its host is not sampled for CPU
     */
    record Rates(OptionalDouble cpuCores, double bytesIn, double bytesOut, double messagesIn, double messagesOut) {
        double bytes() {
            return bytesIn + bytesOut;
        }
    }

    private final Map<String, Map<String, String>> firstSamples = new HashMap<>();
    private final List<Rates> rates = new ArrayList<>();

    void begin(Map<String, String> sample) {
        firstSamples.put(sample.get("gateway"), sample);
    }

    void end(Map<String, String> sample) {
        Map<String, String> before = firstSamples.get(sample.get("gateway"));
        if (before == null || !before.get("start").equals(sample.get("start"))) {
            return;
        }
        double seconds = (number(sample, "us") - number(before, "us")) / MICROS_PER_SECOND;
        rates.add(new Rates(
                cpuCores(before, sample, seconds),
                difference(before, sample, "bytes_in") / seconds,
                difference(before, sample, "bytes_out") / seconds,
                difference(before, sample, "messages_in") / seconds,
                difference(before, sample, "messages_out") / seconds));
    }

    private static OptionalDouble cpuCores(Map<String, String> before, Map<String, String> after, double seconds) {
        return before.containsKey("cpu_ns")
                ? OptionalDouble.of(difference(before, after, "cpu_ns") / NANOS_PER_SECOND / seconds)
                : OptionalDouble.empty();
    }

    private static double difference(Map<String, String> before, Map<String, String> after, String key) {
        return number(after, key) - number(before, key);
    }

    private static long number(Map<String, String> sample, String key) {
        return Long.parseLong(sample.get(key));
    }

    List<Rates> rates() {
        return rates;
    }
}
