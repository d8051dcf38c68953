package sandpaddle.decision;

import java.util.List;
import sandpaddle.decision.settings.PlatformRules;

/**
 * Counts at the engines, by the settings alone, what reached them in every window of {@code rules.fall_us} while they
 * warm up. N is what the settings allow when a window begins; a window counts where over two thirds came from gateways
 * that had received the start.
 */
final class SlowStartRecount {
    int starts, windows;
    int startsOver, over; // beyond N + 2 x root of N + 2
    int startsOver3, over3; // beyond N + 3 x root of N + 3
    double most = Double.NEGATIVE_INFINITY; // (sent - N - 2) / root of N, by what may be known of each request's work
    double mostTrue = Double.NEGATIVE_INFINITY; // the same by each request's own work
    double mostOfN;
    int startsOverTrue3; // as startsOver3, by each request's own work

    /** Requests of mean work that the settings allow an engine in a window that begins at an age. */
    static double allowed(PlatformRules r, double cores, double meanWork, long age) {
        double able = r.slowStartFrom() + (1 - r.slowStartFrom()) * Math.min(1, (double) age / r.slowStartUs());
        return r.overloadMultiple() * able * cores * r.overloadWindowUs() / meanWork;
    }

    void count(SlowStartFleet.Start start, PlatformRules r, double meanWork) {
        List<SlowStartFleet.Sent> sent = start.sent().stream()
                .filter(x -> x.at() - start.at() < r.slowStartUs())
                .toList();
        boolean fell = false, fell3 = false, fellTrue3 = false;
        double sum = 0, sumTrue = 0;
        int told = 0;
        starts++;
        for (int i = 0, end = 0; i < sent.size(); i++) {
            for (; end < sent.size() && sent.get(end).at() < sent.get(i).at() + r.overloadWindowUs(); end++) {
                sum += sent.get(end).usualWork() / meanWork;
                sumTrue += sent.get(end).work() / meanWork;
                told += sent.get(end).told() ? 1 : 0;
            }
            double n = allowed(r, start.cores(), meanWork, sent.get(i).at() - start.at());
            boolean counts = 3 * told > 2 * (end - i);
            windows++;
            if (counts) {
                most = Math.max(most, (sum - n - 2) / Math.sqrt(n));
                mostOfN = Math.max(mostOfN, sum / n);
                mostTrue = Math.max(mostTrue, (sumTrue - n - 2) / Math.sqrt(n));
                over += sum > n + 2 * Math.sqrt(n) + 2 ? 1 : 0;
                over3 += sum > n + 3 * Math.sqrt(n) + 3 ? 1 : 0;
                fell |= sum > n + 2 * Math.sqrt(n) + 2;
                fell3 |= sum > n + 3 * Math.sqrt(n) + 3;
                fellTrue3 |= sumTrue > n + 3 * Math.sqrt(n) + 3;
            }
            sum -= sent.get(i).usualWork() / meanWork;
            sumTrue -= sent.get(i).work() / meanWork;
            told -= sent.get(i).told() ? 1 : 0;
        }
        startsOver += fell ? 1 : 0;
        startsOver3 += fell3 ? 1 : 0;
        startsOverTrue3 += fellTrue3 ? 1 : 0;
    }

    @Override
    public String toString() {
        return String.format(
                "starts %d over2 %d over3 %d true3 %d most %.2f true %.2f of N %.2f windows %d over %d",
                starts, startsOver, startsOver3, startsOverTrue3, most, mostTrue, mostOfN, windows, over);
    }
}
