package sandpaddle.lab;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Latency of served attempts, and resources used by gateways: CPU time, and bytes on the links between gateways. */
final class CostAudit {
    private static final double US_PER_SECOND = 1e6;

    private final Map<String, Long> sentUs = new HashMap<>(); // by attempt
    private final Histogram latency = new Histogram(120_000_000L, 3);
    private final Map<String, long[]> cpuByGateway = new HashMap<>(); // by gateway: first and last sample in ms
    private long firstBytes = -1;
    private long firstUs;
    private double bytesPerSecond;
    private long attempts;

    void attemptSent(String attempt, long timestampUs) {
        sentUs.put(attempt, timestampUs);
        attempts++;
    }

    void attemptServed(String attempt, long timestampUs) {
        latency.recordValue(Math.max(
                0,
                Math.min(timestampUs - sentUs.getOrDefault(attempt, timestampUs), latency.getHighestTrackableValue())));
    }

    void gatewayCpu(String gateway, long ms) {
        cpuByGateway.computeIfAbsent(gateway, k -> new long[] {ms, ms})[1] = ms;
    }

    void linkTraffic(long bytes, long timestampUs) {
        if (firstBytes < 0) {
            firstBytes = bytes;
            firstUs = timestampUs;
        } else if (timestampUs > firstUs) {
            bytesPerSecond = (bytes - firstBytes) * US_PER_SECOND / (timestampUs - firstUs);
        }
    }

    void figures(Map<String, Object> figures) {
        figures.put("latencyP50Ms", latency.getValueAtPercentile(50) / 1000.0);
        figures.put("latencyP99Ms", latency.getValueAtPercentile(99) / 1000.0);
        double ms = cpuByGateway.values().stream()
                .filter(c -> c[1] >= c[0])
                .mapToDouble(c -> c[1] - c[0])
                .sum();
        figures.put("gatewayCpuMsPerTry", attempts == 0 ? 0.0 : ms / attempts);
        figures.put("linkBytesPerSecond", bytesPerSecond);
    }
}
