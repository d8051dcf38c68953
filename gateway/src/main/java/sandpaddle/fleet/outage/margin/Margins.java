package sandpaddle.fleet.outage.margin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;

/**
 * Learned margins around outage windows, by zone and rule. The margin before a window is a quantile of how early the
 * outages of earlier windows began, the margin after it a quantile of how late they ended; both are clamped to the
 * settings.
 *
 * <p>Quantiles are exact over the last {@value OffsetHistory#CAPACITY} windows: a sketch such as KLL would save no
 * memory at this size and would never discard old windows. Missed windows and windows in which the wall clock was set
 * change no margin. An offset beyond the longest margin counts as the longest margin, so that one outlier shifts the
 * quantile by one rank only. At most {@value #MAX_RULES} rules are kept, with {@code 2 * 8 * CAPACITY} bytes of offsets
 * each; the least recently used rule is evicted. Not thread-safe.
 */
public final class Margins {
    static final int MAX_RULES = 1024;
    private static final int FORMAT_VERSION = 1;
    private static final int MAX_NAME_BYTES = 64;

    private static final class RuleHistory {
        private final OffsetHistory earlyStarts = new OffsetHistory();
        private final OffsetHistory lateEnds = new OffsetHistory();
        private long missed;
    }

    private record RuleKey(String zone, String rule) {}

    private final MarginSettings settings;
    private final Map<RuleKey, RuleHistory> byRule = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RuleKey, RuleHistory> eldest) {
            return size() > MAX_RULES;
        }
    };

    /** Creates margins without history. */
    public Margins(MarginSettings settings) {
        this.settings = settings;
    }

    /** Records the outcome of a window that is over for each rule that the window came from. */
    public void learn(WindowOutcome outcome) {
        for (String rule : outcome.rules()) {
            RuleHistory history = byRule.computeIfAbsent(new RuleKey(outcome.zone(), rule), key -> new RuleHistory());
            if (outcome.unreliable()) {
                continue;
            }
            if (outcome.missed()) {
                history.missed++;
            } else {
                history.earlyStarts.add(clamp(-outcome.startDelayMs()));
                history.lateEnds.add(clamp(outcome.endDelayMs()));
            }
        }
    }

    private long clamp(long offsetMs) {
        return Math.max(-settings.maxMs(), Math.min(settings.maxMs(), offsetMs));
    }

    /**
     * Returns by how many milliseconds an outage may begin before the planned start: the longest margin of the rules.
     */
    public long startMarginMs(String zone, Iterable<String> rules) {
        return maxMarginMs(
                zone,
                rules,
                history -> history.earlyStarts.isEmpty() ? 0 : history.earlyStarts.quantile(settings.quantile()));
    }

    /** Returns by how many milliseconds an outage may end after the planned end: the longest margin of the rules. */
    public long endMarginMs(String zone, Iterable<String> rules) {
        return maxMarginMs(
                zone,
                rules,
                history -> history.lateEnds.isEmpty() ? 0 : history.lateEnds.quantile(settings.quantile()));
    }

    private long maxMarginMs(String zone, Iterable<String> rules, ToLongFunction<RuleHistory> margin) {
        long maxMs = settings.minMs();
        for (String rule : rules) {
            RuleHistory history = byRule.get(new RuleKey(zone, rule));
            maxMs = Math.max(maxMs, settings.clamp(history == null ? 0 : margin.applyAsLong(history)));
        }
        return maxMs;
    }

    /** Returns how many windows of a rule passed without a loss of the link. */
    public long missedWindows(String zone, String rule) {
        RuleHistory history = byRule.get(new RuleKey(zone, rule));
        return history == null ? 0 : history.missed;
    }

    /** Encodes the learned margins as CBOR, for {@link #restore}. */
    public byte[] encode() {
        return new CborOut()
                .number(FORMAT_VERSION)
                .list(new ArrayList<>(byRule.entrySet()), (output, entry) -> {
                    output.text(entry.getKey().zone).text(entry.getKey().rule).number(entry.getValue().missed);
                    writeOffsets(output, entry.getValue().earlyStarts);
                    writeOffsets(output, entry.getValue().lateEnds);
                })
                .done();
    }

    private static void writeOffsets(CborOut output, OffsetHistory offsets) {
        long[] ordered = offsets.oldestFirst();
        output.number(ordered.length);
        for (long offsetMs : ordered) {
            output.number(offsetMs);
        }
    }

    /**
     * Replaces the learned margins by encoded ones.
     *
     * @throws CborIn.FaultyMessageException if the encoding is invalid; the margins are unchanged then
     */
    public void restore(byte[] encoded) throws CborIn.FaultyMessageException {
        CborIn input = new CborIn(encoded);
        input.number(FORMAT_VERSION, FORMAT_VERSION);
        List<Map.Entry<RuleKey, RuleHistory>> entries = input.list(MAX_RULES, item -> {
            RuleKey key = new RuleKey(item.text(MAX_NAME_BYTES), item.text(MAX_NAME_BYTES));
            RuleHistory history = new RuleHistory();
            history.missed = item.number(0, Long.MAX_VALUE);
            readOffsets(item, history.earlyStarts);
            readOffsets(item, history.lateEnds);
            return Map.entry(key, history);
        });
        input.end();
        byRule.clear();
        entries.forEach(entry -> byRule.put(entry.getKey(), entry.getValue()));
    }

    private void readOffsets(CborIn input, OffsetHistory offsets) throws CborIn.FaultyMessageException {
        long count = input.number(0, OffsetHistory.CAPACITY);
        for (int i = 0; i < count; i++) {
            offsets.add(clamp(input.number(Long.MIN_VALUE + 1, Long.MAX_VALUE)));
        }
    }
}
