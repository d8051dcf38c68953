package sandpaddle.decision;

import java.util.List;
import sandpaddle.decision.settings.PlatformRules;

/**
 * Counts the work that engines received while they were warming up, in every overload window ({@code rules.fall_us}),
 * from the settings alone. N is the number of requests of mean work that the settings permit at the start of a window.
 * A window counts if more than two thirds of its attempts came from gateways that had received the engine's start.
 */
final class SlowStartWorkCounter {
    int starts, windows;
    int startsOver2, windowsOver2; // above N + 2 sqrt(N) + 2
    int startsOver3, windowsOver3; // above N + 3 sqrt(N) + 3
    double maxExcess = Double.NEGATIVE_INFINITY; // (sent - N - 2) / sqrt(N), by the expected work of requests
    double maxActualExcess = Double.NEGATIVE_INFINITY; // the same by the actual work of requests
    double maxRatio; // sent / N
    int startsOver3ByActualWork; // as startsOver3, by the actual work of requests

    /** Returns the requests of mean work that the settings permit an engine in a window that starts at an age (us). */
    static double permittedRequests(PlatformRules rules, double cores, double meanWorkUs, long ageUs) {
        double capacityFraction =
                rules.slowStartFrom() + (1 - rules.slowStartFrom()) * Math.min(1, (double) ageUs / rules.slowStartUs());
        return rules.overloadMultiple() * capacityFraction * cores * rules.overloadWindowUs() / meanWorkUs;
    }

    void count(SlowStartSimulation.Start start, PlatformRules rules, double meanWorkUs) {
        List<SlowStartSimulation.Sent> sent = start.sent().stream()
                .filter(x -> x.atUs() - start.atUs() < rules.slowStartUs())
                .toList();
        boolean isOver2 = false, isOver3 = false, isOver3ByActualWork = false;
        double sum = 0, actualSum = 0;
        int knownStarts = 0;
        starts++;
        for (int i = 0, end = 0; i < sent.size(); i++) {
            for (; end < sent.size() && sent.get(end).atUs() < sent.get(i).atUs() + rules.overloadWindowUs(); end++) {
                sum += sent.get(end).expectedWorkUs() / meanWorkUs;
                actualSum += sent.get(end).workUs() / meanWorkUs;
                knownStarts += sent.get(end).startKnown() ? 1 : 0;
            }
            double n = permittedRequests(
                    rules, start.cores(), meanWorkUs, sent.get(i).atUs() - start.atUs());
            boolean isCounted = 3 * knownStarts > 2 * (end - i);
            windows++;
            if (isCounted) {
                maxExcess = Math.max(maxExcess, (sum - n - 2) / Math.sqrt(n));
                maxRatio = Math.max(maxRatio, sum / n);
                maxActualExcess = Math.max(maxActualExcess, (actualSum - n - 2) / Math.sqrt(n));
                windowsOver2 += sum > n + 2 * Math.sqrt(n) + 2 ? 1 : 0;
                windowsOver3 += sum > n + 3 * Math.sqrt(n) + 3 ? 1 : 0;
                isOver2 |= sum > n + 2 * Math.sqrt(n) + 2;
                isOver3 |= sum > n + 3 * Math.sqrt(n) + 3;
                isOver3ByActualWork |= actualSum > n + 3 * Math.sqrt(n) + 3;
            }
            sum -= sent.get(i).expectedWorkUs() / meanWorkUs;
            actualSum -= sent.get(i).workUs() / meanWorkUs;
            knownStarts -= sent.get(i).startKnown() ? 1 : 0;
        }
        startsOver2 += isOver2 ? 1 : 0;
        startsOver3 += isOver3 ? 1 : 0;
        startsOver3ByActualWork += isOver3ByActualWork ? 1 : 0;
    }

    @Override
    public String toString() {
        return String.format(
                "starts %d over2 %d over3 %d (actual %d) excess %.2f (actual %.2f) of N %.2f windows %d over2 %d",
                starts,
                startsOver2,
                startsOver3,
                startsOver3ByActualWork,
                maxExcess,
                maxActualExcess,
                maxRatio,
                windows,
                windowsOver2);
    }
}
