package sandpaddle.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import sandpaddle.decision.Micros;
import sandpaddle.fleet.OutageSettings;
import sandpaddle.fleet.outage.margin.MarginSettings;
import sandpaddle.fleet.outage.phase.PhaseSettings;
import sandpaddle.fleet.outage.schedule.RawRule;
import sandpaddle.fleet.outage.schedule.RuleReader;
import sandpaddle.fleet.outage.schedule.Schedule;

/**
 * Maps the sections {@code outages}, {@code outage} and {@code content} of the operator's file, within {@code fleet}.
 */
final class OutageSettingsReader {
    private static final Duration DAY = Duration.ofDays(1);
    private static final int MAX_TEXT_CHARS = 512;
    private static final Predicate<String> IS_SHORT = text -> text.length() <= MAX_TEXT_CHARS;
    private static final String ALLOWED_TEXT = "a text of " + MAX_TEXT_CHARS + " characters at most";
    private static final int MAX_EXDATES = 366;
    private static final long US_PER_MS = 1000;

    private OutageSettingsReader() {}

    static OutageSettings read(SectionReader fleet) {
        Schedule schedule = schedule(fleet);
        SectionReader section = fleet.section("outage");
        SectionReader contentSection = fleet.section("content");
        long minMs =
                section.integer("margin_least_ms", OutageSettings.OFF.margins().minMs(), 0, DAY.toMillis());
        long maxMs =
                section.integer("margin_most_ms", OutageSettings.OFF.margins().maxMs(), 0, DAY.toMillis());
        if (maxMs < minMs) {
            section.addError("margin_most_ms", "at least 'margin_least_ms'");
            maxMs = minMs;
        }
        OutageSettings.Content defaults = OutageSettings.OFF.content();
        return new OutageSettings(
                schedule,
                phases(section),
                new MarginSettings(
                        minMs,
                        maxMs,
                        section.number(
                                "margin_quantile", OutageSettings.OFF.margins().quantile(), 0.01, 1)),
                new OutageSettings.Content(
                        contentSection.integer("memory_bytes", defaults.memoryBytes(), 1 << 16, 1L << 34),
                        contentSection.integer("disk_bytes", defaults.diskBytes(), 0, 1L << 42),
                        (int) contentSection.integer("segment_bytes", defaults.segmentBytes(), 1 << 12, 1 << 28),
                        (int) contentSection.integer("entries", defaults.entries(), 1, 10_000_000),
                        durationUs(contentSection, "flush_ms", defaults.flushUs()),
                        contentSection.integer("unheard_most_ms", defaults.maxSilenceMs(), 0, 30 * DAY.toMillis()),
                        contentSection.integer("wall_slack_ms", defaults.maxWallClockSkewMs(), 0, DAY.toMillis())),
                section.integer("fill_work_ms_per_s", OutageSettings.OFF.prefetchWorkUsPerS() / US_PER_MS, 0, 1_000_000)
                        * US_PER_MS,
                maxAgesMs(contentSection));
    }

    private static long durationUs(SectionReader section, String key, long defaultUs) {
        return Micros.of(section.durationMs(key, Micros.span(defaultUs), Duration.ZERO, DAY));
    }

    private static PhaseSettings phases(SectionReader section) {
        PhaseSettings defaults = OutageSettings.OFF.phase();
        long lossConfirmUs = durationUs(section, "loss_held_ms", defaults.lossConfirmUs());
        long unannouncedLossConfirmUs = durationUs(
                section, "loss_unannounced_held_ms", Math.max(lossConfirmUs, defaults.unannouncedLossConfirmUs()));
        long expectMs = section.integer("expect_ms", defaults.expectLeadMs(), 0, 7 * DAY.toMillis());
        long fillMs = section.integer("fill_ms", Math.min(expectMs, defaults.prefetchLeadMs()), 0, 7 * DAY.toMillis());
        if (unannouncedLossConfirmUs < lossConfirmUs) {
            section.addError("loss_unannounced_held_ms", "at least 'loss_held_ms'");
            unannouncedLossConfirmUs = lossConfirmUs;
        }
        if (fillMs > expectMs) {
            section.addError("fill_ms", "at most 'expect_ms'");
            fillMs = expectMs;
        }
        return new PhaseSettings(
                lossConfirmUs,
                unannouncedLossConfirmUs,
                durationUs(section, "return_held_ms", defaults.returnConfirmUs()),
                durationUs(section, "returning_ms", defaults.returningUs()),
                expectMs,
                fillMs,
                defaults.settleMs());
    }

    private static Map<String, Long> maxAgesMs(SectionReader content) {
        SectionReader section = content.section("max_age_ms");
        Map<String, Long> maxAgesMs = new HashMap<>();
        for (String requestClass : section.keys()) {
            long maxAgeMs = section.integer(requestClass, 0, 1, 365 * DAY.toMillis());
            if (maxAgeMs > 0) {
                maxAgesMs.put(requestClass, maxAgeMs);
            }
        }
        return maxAgesMs;
    }

    private static Schedule schedule(SectionReader fleet) {
        List<RawRule> rules = new ArrayList<>();
        List<SectionReader> sections = fleet.sections("outages", Schedule.MAX_RULES);
        if (sections.isEmpty()) {
            return Schedule.NONE; // without rules the recurrence library is not loaded
        }
        for (int i = 0; i < sections.size(); i++) {
            SectionReader rule = sections.get(i);
            rules.add(new RawRule(
                    "[" + i + "]",
                    rule.string("name", "", IS_SHORT, ALLOWED_TEXT),
                    rule.string("hall", "", IS_SHORT, ALLOWED_TEXT),
                    rule.string("zone", "", IS_SHORT, ALLOWED_TEXT),
                    rule.string("start", "", IS_SHORT, ALLOWED_TEXT),
                    rule.string("duration", "", IS_SHORT, ALLOWED_TEXT),
                    rule.string("rrule", "", IS_SHORT, ALLOWED_TEXT),
                    rule.strings("exdates", MAX_EXDATES, IS_SHORT, ALLOWED_TEXT)));
        }
        RuleReader.Result readRules = RuleReader.read(rules);
        for (RuleReader.RuleError error : readRules.errors()) {
            int bracket = error.path().indexOf(']');
            int index = bracket > 1 ? Integer.parseInt(error.path().substring(1, bracket)) : -1;
            String key = error.path().substring(error.path().lastIndexOf('.') + 1);
            if (index >= 0 && index < sections.size()) {
                sections.get(index).addError(key, error.allowed());
            } else {
                fleet.addError("outages", error.allowed());
            }
        }
        return readRules.schedule().orElse(Schedule.NONE);
    }
}
