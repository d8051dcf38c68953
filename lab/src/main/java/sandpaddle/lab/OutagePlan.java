package sandpaddle.lab;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.Locale;

/**
 * A scheduled outage of the last zone.
 *
 * @param from start
 * @param length duration
 * @param fill duration of prefetching before the outage
 */
record OutagePlan(Instant from, Duration length, Duration fill) {
    static final String ZONE = LabDeployment.ZONES.get(LabDeployment.ZONES.size() - 1);
    static final int ZONE_INDEX = LabDeployment.ZONES.size() - 1;
    static final long MEMORY_BYTES = 1 << 20;
    static final long FILL_WORK_MS_PER_S = 8_000;
    /** Allowed error of the store's wall clock; results are treated as older by this much. */
    static final long CLOCK_SLACK_MS = 200;

    private static final Duration LEAD = Duration.ofSeconds(18);
    private static final Duration MAX_LEAD = Duration.ofSeconds(100);
    // margin for a loaded machine, as a multiple of the time that formatting took
    private static final int FORMAT_TIME_FACTOR = 3;

    /**
     * Plans an outage for gateways that start now: it begins after they had time to start and to observe the demand.
     *
     * @param formatting time that formatting the directories took
     */
    static OutagePlan schedule(Instant now, Duration formatting, boolean brief) {
        Duration lead = LEAD.plus(formatting.multipliedBy(FORMAT_TIME_FACTOR)).plusSeconds(brief ? 0 : 20);
        Instant from = Instant.ofEpochSecond(
                now.plus(lead.compareTo(MAX_LEAD) < 0 ? lead : MAX_LEAD).getEpochSecond());
        return brief
                ? new OutagePlan(from, Duration.ofSeconds(9), Duration.ofSeconds(9))
                : new OutagePlan(from, Duration.ofSeconds(20), Duration.ofSeconds(14));
    }

    /**
     * Maximum age of a stored result of a class: short enough that results from long before the outage are of no use.
     */
    long maxAgeMs(String requestClass) {
        return length.toMillis() + (requestClass.equals("report") ? 14_000 : 11_000);
    }

    /** Returns the sections of the operator's files. */
    String operatorSections() {
        LocalDateTime start = LocalDateTime.ofInstant(from, ZoneOffset.UTC);
        return String.format(
                Locale.ROOT,
                """
                "outages":[{"name":"line","hall":"%s","zone":"UTC","start":"%s","duration":"PT%dS"}],
                "outage":{"margin_least_ms":500,"margin_most_ms":2000,"expect_ms":%d,"fill_ms":%d,"loss_held_ms":500,
                "loss_unannounced_held_ms":4000,"return_held_ms":1000,"returning_ms":2000,"fill_work_ms_per_s":%d},
                "content":{"memory_bytes":%d,"wall_slack_ms":%d,"max_age_ms":{"lookup":%d,"report":%d}},
                """,
                ZONE,
                start,
                length.toSeconds(),
                fill.toMillis() + 3000,
                fill.toMillis(),
                FILL_WORK_MS_PER_S,
                MEMORY_BYTES,
                CLOCK_SLACK_MS,
                maxAgeMs("lookup"),
                maxAgeMs("report"));
    }
}
