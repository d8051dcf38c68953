package sandpaddle.config;

import java.time.Duration;
import sandpaddle.decision.Micros;
import sandpaddle.overload.OverloadSettings;

/** Maps the section {@code storm} of the operator's file. */
final class OverloadSettingsReader {
    private static final OverloadSettings DEFAULTS = OverloadSettings.OFF;
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final double MAX_CONNECTIONS_PER_S = 1e6;

    private OverloadSettingsReader() {}

    static OverloadSettings read(SectionReader section) {
        return new OverloadSettings(
                section.flag("enabled", DEFAULTS.enabled()),
                detection(section.section("detection")),
                retryAfterSchedule(section.section("calendar")),
                admissionLimits(section.section("recovery")),
                connectionLimits(section.section("connections")),
                loadDeduplication(section.section("loads")));
    }

    private static long durationUs(SectionReader section, String key, long defaultUs, Duration min, Duration max) {
        return Micros.of(section.durationMs(key, Micros.span(defaultUs), min, max));
    }

    private static OverloadSettings.Detection detection(SectionReader section) {
        OverloadSettings.Detection defaults = DEFAULTS.detection();
        Duration tenMinutes = MINUTE.multipliedBy(10);
        Duration halfSecond = Duration.ofMillis(500);
        OverloadSettings.Detection detection = new OverloadSettings.Detection(
                section.number("return_share", defaults.returnShare(), 0.05, 0.95),
                section.number("bad_share", defaults.failureShare(), 0.05, 0.95),
                section.number("calm_share", defaults.normalShare(), 0.01, 0.9),
                durationUs(section, "enter_ms", defaults.enterUs(), Duration.ofMillis(100), MINUTE),
                durationUs(section, "calm_ms", defaults.exitUs(), halfSecond, tenMinutes),
                durationUs(section, "memory_ms", defaults.rememberUs(), halfSecond, tenMinutes),
                (int) section.integer("entries", defaults.maxEntries(), 64, 1 << 20));
        if (detection.normalShare() >= Math.min(detection.returnShare(), detection.failureShare())) {
            section.addError(
                    "calm_share", "less than 'return_share' and 'bad_share', or a storm would end as it begins");
        }
        return detection;
    }

    private static OverloadSettings.RetryAfterSchedule retryAfterSchedule(SectionReader section) {
        OverloadSettings.RetryAfterSchedule defaults = DEFAULTS.retryAfterSchedule();
        OverloadSettings.RetryAfterSchedule schedule = new OverloadSettings.RetryAfterSchedule(
                durationUs(section, "slot_ms", defaults.slotUs(), Duration.ofMillis(10), Duration.ofSeconds(1)),
                durationUs(section, "least_ms", defaults.minUs(), Duration.ZERO, MINUTE),
                durationUs(section, "most_ms", defaults.maxUs(), Duration.ZERO, MINUTE.multipliedBy(5)),
                section.number("newcomers_share", defaults.unplannedShare(), 0, 0.9));
        if (schedule.maxUs() > 0 && schedule.maxUs() < schedule.minUs() + schedule.slotUs()) {
            section.addError("most_ms", "0 for the platform's most, or at least 'least_ms' and 'slot_ms' together");
        }
        return schedule;
    }

    private static OverloadSettings.AdmissionLimits admissionLimits(SectionReader section) {
        OverloadSettings.AdmissionLimits defaults = DEFAULTS.admissionLimits();
        return new OverloadSettings.AdmissionLimits(
                section.number("start_share", defaults.startShare(), 0.05, 1),
                section.number("hold_share", defaults.maxWaitShare(), 0, 2),
                section.number("reserve_share", defaults.reserveShare(), 0, 0.1));
    }

    private static OverloadSettings.ConnectionLimits connectionLimits(SectionReader section) {
        OverloadSettings.ConnectionLimits defaults = DEFAULTS.connectionLimits();
        return new OverloadSettings.ConnectionLimits(
                section.number("least_per_s", defaults.minPerS(), 1, MAX_CONNECTIONS_PER_S),
                section.number("over_usual", defaults.usualMultiple(), 1, 1000));
    }

    private static OverloadSettings.LoadDeduplication loadDeduplication(SectionReader section) {
        OverloadSettings.LoadDeduplication defaults = DEFAULTS.loadDeduplication();
        return new OverloadSettings.LoadDeduplication(
                section.flag("enabled", defaults.enabled()),
                durationUs(section, "keep_ms", defaults.retentionUs(), Duration.ofSeconds(1), Duration.ofDays(1)),
                (int) section.integer("entries", defaults.maxEntries(), 1, 1 << 20),
                section.integer("result_bytes", defaults.maxResultBytes(), 0, 1L << 30));
    }
}
