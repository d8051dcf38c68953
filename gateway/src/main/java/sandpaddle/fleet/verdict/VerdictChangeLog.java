package sandpaddle.fleet.verdict;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Formats the changes from one snapshot of verdicts to the next as log lines, which log readers parse. */
public final class VerdictChangeLog {
    private VerdictChangeLog() {}

    /** Returns one line for each change; empty if nothing changed. */
    public static List<String> describe(VerdictSnapshot before, VerdictSnapshot after) {
        List<String> lines = new ArrayList<>();
        Map<String, FleetEngineVerdict> oldVerdicts = byKey(before);
        Map<String, FleetEngineVerdict> newVerdicts = byKey(after);
        newVerdicts.forEach((key, verdict) -> {
            if (!oldVerdicts.containsKey(key)) {
                lines.add("verdict begins: " + key
                        + (verdict.kind().ejects() && verdict.isProber() ? ", probed from here" : ""));
            }
        });
        oldVerdicts.keySet().stream()
                .filter(key -> !newVerdicts.containsKey(key))
                .forEach(key -> lines.add("verdict ends: " + key));
        describeChanges(
                lines,
                "engine at fault but not ejected (ejection limit or isolated zone): ",
                before.exempted(),
                after.exempted());
        describeChanges(lines, "tenant over its quota: ", before.tenantsOverQuota(), after.tenantsOverQuota());
        describeChanges(
                lines, "gateway suspects itself: ", before.selfSuspectingGateways(), after.selfSuspectingGateways());
        after.zones().forEach((zone, link) -> {
            ZoneLink previous = before.zones().get(zone);
            if (previous == null || previous.state() != link.state()) {
                lines.add("zone " + zone + " is " + link.state());
            }
        });
        return lines;
    }

    private static Map<String, FleetEngineVerdict> byKey(VerdictSnapshot verdicts) {
        Map<String, FleetEngineVerdict> map = new TreeMap<>();
        verdicts.engines()
                .forEach(verdict -> map.put(
                        "engine " + verdict.engine() + " " + verdict.kind().logName(), verdict));
        return map;
    }

    private static void describeChanges(
            List<String> lines, String description, Iterable<String> before, Iterable<String> after) {
        TreeSet<String> oldNames = new TreeSet<>();
        before.forEach(oldNames::add);
        TreeSet<String> newNames = new TreeSet<>();
        after.forEach(newNames::add);
        newNames.stream().filter(name -> !oldNames.contains(name)).forEach(name -> lines.add(description + name));
        oldNames.stream()
                .filter(name -> !newNames.contains(name))
                .forEach(name -> lines.add("ended: " + description + name));
    }
}
