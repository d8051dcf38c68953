package sandpaddle.fleet.outage.phase;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import sandpaddle.fleet.outage.margin.MarginSettings;
import sandpaddle.fleet.outage.margin.Margins;
import sandpaddle.fleet.outage.margin.WindowOutcome;
import sandpaddle.fleet.outage.phase.Evidence.Link;
import sandpaddle.fleet.outage.schedule.RawRule;
import sandpaddle.fleet.outage.schedule.RuleReader;
import sandpaddle.fleet.outage.schedule.Schedule;

/** A zone with an outage window from 12:00 to 13:00 (UTC), prefetched for from 11:29, in virtual time. */
abstract class ZonePhaseFixture {
    static final MarginSettings MARGIN_SETTINGS = new MarginSettings(60_000, 20 * 60_000, 0.9);

    final Margins margins = new Margins(MARGIN_SETTINGS);
    final List<String> transitions = new ArrayList<>();
    final List<WindowOutcome> outcomes = new ArrayList<>();
    ZonePhase zone = createZone(schedule("12:00", "PT1H"));
    long wallMs = at("06:00");
    long nowUs = 77_000_000;
    Evidence evidence = new Evidence(Link.REACHABLE, nowUs);

    ZonePhase createZone(Schedule schedule) {
        return new ZonePhase("ship", schedule, margins, MARGIN_SETTINGS.maxMs(), PhaseSettings.DEFAULT);
    }

    static long at(String time) {
        return Instant.parse("2026-11-02T" + time + ":00Z").toEpochMilli();
    }

    static Schedule schedule(String... startsAndDurations) {
        List<RawRule> rules = new ArrayList<>();
        for (int i = 0; i < startsAndDurations.length; i += 2) {
            rules.add(new RawRule(
                    "o",
                    "r" + i / 2,
                    "ship",
                    "UTC",
                    "2026-11-02T" + startsAndDurations[i],
                    startsAndDurations[i + 1],
                    "",
                    List.of()));
        }
        return RuleReader.read(rules).schedule().orElseThrow();
    }

    /** Updates the zone every five seconds until a time of the wall clock. */
    void runUntil(String time) {
        while (wallMs < at(time)) {
            wallMs += 5000;
            nowUs += 5_000_000;
            update();
        }
    }

    void update() {
        zone.update(nowUs, wallMs, evidence)
                .ifPresent(transition -> transitions.add(transition.to() + " " + transition.reason()));
        outcomes.addAll(zone.drainOutcomes());
    }

    void setLink(Link link) {
        evidence = new Evidence(link, nowUs);
    }

    void assertTransitions(String... expected) {
        assertEquals(List.of(expected), transitions);
    }
}
