package sandpaddle.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.temporal.ChronoUnit;
import java.util.Collection;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads verdicts, versions and leaders from the gateways' logs and adds them to the events. */
public final class FleetLogs {
    private static final Pattern LOG_LINE = Pattern.compile("(\\d\\d:\\d\\d:\\d\\d\\.\\d{3}) \\w+ \\S+: fleet: (.*)");
    private static final Pattern VERDICT = Pattern.compile("verdict (begins|ends): engine (\\S+) (\\w+).*");
    private static final Pattern RULES = Pattern.compile("version (\\d+) rules.*");
    private static final Pattern ZONE_PHASE = Pattern.compile("hall moves: (\\w+) -> (\\w+).*");
    private static final Pattern LEADER = Pattern.compile("(\\S+) leads in term (\\d+).*");

    private FleetLogs() {}

    /** Adds the events in the logs of these gateways. */
    public static void gather(Path folder, Collection<String> names, Events events) throws IOException {
        for (String name : names) {
            Path log = folder.resolve(name + ".log");
            if (Files.exists(log)) {
                for (String line : Files.readAllLines(log)) {
                    Matcher m = LOG_LINE.matcher(line);
                    if (m.matches()) {
                        recordEvent(timestampUs(m.group(1)), name, m.group(2), events);
                    }
                }
            }
        }
    }

    /** Returns the leader with the highest term in these gateways' logs. */
    public static Optional<String> leader(Path folder, Collection<String> names) throws IOException {
        long highest = -1;
        String leader = null;
        for (String name : names) {
            for (String line : Files.readAllLines(folder.resolve(name + ".log"))) {
                Matcher logLine = LOG_LINE.matcher(line);
                Matcher leaderLine = LEADER.matcher(logLine.matches() ? logLine.group(2) : "");
                if (leaderLine.matches() && Long.parseLong(leaderLine.group(2)) > highest) {
                    highest = Long.parseLong(leaderLine.group(2));
                    leader = leaderLine.group(1);
                }
            }
        }
        return Optional.ofNullable(leader);
    }

    private static long timestampUs(String time) {
        Instant at = LocalTime.parse(time)
                .atDate(LocalDate.now())
                .atZone(ZoneId.systemDefault())
                .toInstant();
        return ChronoUnit.MICROS.between(Instant.EPOCH, at);
    }

    private static void recordEvent(long timestampUs, String name, String message, Events events) {
        Matcher m = VERDICT.matcher(message);
        if (m.matches()) {
            events.add(
                    timestampUs,
                    "gateway",
                    "verdict-" + m.group(1),
                    "gateway",
                    name,
                    "engine",
                    m.group(2),
                    "outcome",
                    m.group(3));
        }
        m = RULES.matcher(message);
        if (m.matches()) {
            events.add(timestampUs, "gateway", "rules", "gateway", name, "version", Long.parseLong(m.group(1)));
        }
        m = ZONE_PHASE.matcher(message);
        if (m.matches()) {
            events.add(timestampUs, "gateway", "hall-moves", "gateway", name, "outcome", m.group(2));
        }
        m = LEADER.matcher(message);
        if (m.matches()) {
            events.add(timestampUs, "gateway", "leads", "gateway", name, "term", Long.parseLong(m.group(2)));
        }
    }
}
