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

/** A zone with a window from 12:00 to 13:00 (UTC), filled for from 11:29 on, as it goes in each way that windows go. */
abstract class ZoneStory {
    static final MarginSettings MARGIN = new MarginSettings(60_000, 20 * 60_000, 0.9);

    final Margins margins = new Margins(MARGIN);
    final List<String> moves = new ArrayList<>();
    final List<WindowOutcome> endings = new ArrayList<>();
    ZonePhase zone = zone(schedule("12:00", "PT1H"));
    long wall = at("06:00");
    long now = 77_000_000;
    Evidence evidence = new Evidence(Link.REACHABLE, now);

    ZonePhase zone(Schedule s) {
        return new ZonePhase("ship", s, margins, MARGIN.maxMs(), PhaseSettings.DEFAULT);
    }

    static long at(String time) {
        return Instant.parse("2026-11-02T" + time + ":00Z").toEpochMilli();
    }

    static Schedule schedule(String... startsAndLengths) {
        List<RawRule> rules = new ArrayList<>();
        for (int i = 0; i < startsAndLengths.length; i += 2) {
            rules.add(new RawRule(
                    "o",
                    "r" + i / 2,
                    "ship",
                    "UTC",
                    "2026-11-02T" + startsAndLengths[i],
                    startsAndLengths[i + 1],
                    "",
                    List.of()));
        }
        return RuleReader.read(rules).schedule().orElseThrow();
    }

    /** Goes on by turns of five seconds until a time of the wall clock. */
    void until(String time) {
        while (wall < at(time)) {
            wall += 5000;
            now += 5_000_000;
            turn();
        }
    }

    void turn() {
        zone.turn(now, wall, evidence).ifPresent(m -> moves.add(m.to() + " " + m.why()));
        endings.addAll(zone.endings());
    }

    void link(Link link) {
        evidence = new Evidence(link, now);
    }

    void went(String... expected) {
        assertEquals(List.of(expected), moves);
    }
}
