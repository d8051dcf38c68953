package sandpaddle.fleet.verdict;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Describes the changes from one snapshot of verdicts to the next as log lines. Log readers parse these lines. */
public final class VerdictChangeLog {
    private VerdictChangeLog() {}

    /** One line for each change; empty if nothing changed. */
    public static List<String> describe(VerdictSnapshot before, VerdictSnapshot after) {
        List<String> lines = new ArrayList<>();
        Map<String, FleetEngineVerdict> oldVerdicts = byKey(before);
        Map<String, FleetEngineVerdict> newVerdicts = byKey(after);
        newVerdicts.forEach((key, verdict) -> {
            if (!oldVerdicts.containsKey(key)) {
                lines.add("verdict begins: " + key
                        + (verdict.kind().condemns() && verdict.isProber() ? ", tried from here" : ""));
            }
        });
        oldVerdicts.keySet().stream()
                .filter(key -> !newVerdicts.containsKey(key))
                .forEach(key -> lines.add("verdict ends: " + key));
        describeChanges(lines, "engine spared, too many are bad at once: ", before.spared(), after.spared());
        describeChanges(lines, "tenant over its share: ", before.tenantsOverQuota(), after.tenantsOverQuota());
        describeChanges(lines, "gateway doubts itself: ", before.selfDoubtingGateways(), after.selfDoubtingGateways());
        after.zones().forEach((zone, link) -> {
            ZoneLink previous = before.zones().get(zone);
            if (previous == null || previous.state() != link.state()) {
                lines.add("hall " + zone + " is " + link.state());
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
            List<String> lines, String what, Iterable<String> before, Iterable<String> after) {
        TreeSet<String> oldNames = new TreeSet<>();
        before.forEach(oldNames::add);
        TreeSet<String> newNames = new TreeSet<>();
        after.forEach(newNames::add);
        newNames.stream().filter(name -> !oldNames.contains(name)).forEach(name -> lines.add(what + name));
        oldNames.stream().filter(name -> !newNames.contains(name)).forEach(name -> lines.add("no more " + what + name));
    }
}
