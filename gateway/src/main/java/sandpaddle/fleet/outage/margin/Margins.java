package sandpaddle.fleet.outage.margin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;

/**
 * How far outages stray from their plan, by zone and rule: the margin before is the quantile of how early earlier
 * ones began, the margin after that of how late they ended, each clipped to the settings. Exact quantiles over the
 * last {@value OffsetHistory#SIZE} windows: a sketch as KLL would save nothing at so few, and never forget. A missed
 * window moves no margin, nor does one in which the clock was set; an offset beyond the longest margin counts as that,
 * so that one strange window moves a quantile by one place and no further. At most {@value #MAX_RULES} rules of
 * {@code 2 * 8 * SIZE} bytes are known; the one not heard of for longest goes first.
 */
public final class Margins {
    static final int MAX_RULES = 1024;
    private static final int VERSION = 1;
    private static final int MAX_NAME = 64;

    private static final class Learnt {
        private final OffsetHistory early = new OffsetHistory();
        private final OffsetHistory late = new OffsetHistory();
        private long missed;
    }

    private record RuleKey(String zone, String rule) {}

    private final MarginSettings settings;
    private final Map<RuleKey, Learnt> byRule = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RuleKey, Learnt> eldest) {
            return size() > MAX_RULES;
        }
    };

    public Margins(MarginSettings settings) {
        this.settings = settings;
    }

    /** Learns from a window that is over; one that several rules made teaches each of them. */
    public void learn(WindowOutcome e) {
        for (String rule : e.rules()) {
            Learnt l = byRule.computeIfAbsent(new RuleKey(e.zone(), rule), p -> new Learnt());
            if (e.doubtful()) {
                continue;
            }
            if (e.missed()) {
                l.missed++;
            } else {
                l.early.add(clipped(-e.startLateMs()));
                l.late.add(clipped(e.endLateMs()));
            }
        }
    }

    private long clipped(long ms) {
        return Math.max(-settings.maxMs(), Math.min(settings.maxMs(), ms));
    }

    /** How long (ms) before its planned beginning a window may begin: the longest of its rules' margins. */
    public long before(String zone, Iterable<String> rules) {
        return max(zone, rules, l -> l.early.isEmpty() ? 0 : l.early.quantile(settings.quantile()));
    }

    /** How long (ms) after its planned end a window may end. */
    public long after(String zone, Iterable<String> rules) {
        return max(zone, rules, l -> l.late.isEmpty() ? 0 : l.late.quantile(settings.quantile()));
    }

    private long max(String zone, Iterable<String> rules, ToLongFunction<Learnt> margin) {
        long max = settings.minMs();
        for (String rule : rules) {
            Learnt l = byRule.get(new RuleKey(zone, rule));
            max = Math.max(max, settings.clip(l == null ? 0 : margin.applyAsLong(l)));
        }
        return max;
    }

    /** Windows of a rule that passed without a loss. */
    public long missed(String zone, String rule) {
        Learnt l = byRule.get(new RuleKey(zone, rule));
        return l == null ? 0 : l.missed;
    }

    /** All that was learnt, for {@link #take}. */
    public byte[] export() {
        return new CborOut()
                .number(VERSION)
                .list(new ArrayList<>(byRule.entrySet()), (out, e) -> {
                    out.text(e.getKey().zone).text(e.getKey().rule).number(e.getValue().missed);
                    offsets(out, e.getValue().early);
                    offsets(out, e.getValue().late);
                })
                .done();
    }

    private static void offsets(CborOut out, OffsetHistory ring) {
        long[] all = ring.oldestFirst();
        out.number(all.length);
        for (long v : all) {
            out.number(v);
        }
    }

    /** Takes what was exported in place of what is known; a fault leaves what is known as it was. */
    public void take(byte[] exported) throws CborIn.FaultyMessageException {
        CborIn in = new CborIn(exported);
        in.number(VERSION, VERSION);
        List<Map.Entry<RuleKey, Learnt>> all = in.list(MAX_RULES, i -> {
            RuleKey place = new RuleKey(i.text(MAX_NAME), i.text(MAX_NAME));
            Learnt l = new Learnt();
            l.missed = i.number(0, Long.MAX_VALUE);
            offsets(i, l.early);
            offsets(i, l.late);
            return Map.entry(place, l);
        });
        in.end();
        byRule.clear();
        all.forEach(e -> byRule.put(e.getKey(), e.getValue()));
    }

    private void offsets(CborIn in, OffsetHistory ring) throws CborIn.FaultyMessageException {
        long count = in.number(0, OffsetHistory.SIZE);
        for (int i = 0; i < count; i++) {
            ring.add(clipped(in.number(Long.MIN_VALUE + 1, Long.MAX_VALUE)));
        }
    }
}
