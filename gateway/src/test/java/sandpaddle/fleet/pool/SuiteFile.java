package sandpaddle.fleet.pool;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Phase;
import sandpaddle.fleet.pool.model.SolverInput;

/**
 * A policy of the suite with what its comments say of it. In each file: "# known THING NAME..." for the checker,
 * "# engine KIND COUNT", "# gateway NAME ZONE", "# demand TENANT CLASS GATEWAY KIND CONNECTIONS" and "# state WORD
 * VALUE" for the solver; then what must come out: "# fault LINE:COLUMN TEXT", "# warning LINE:COLUMN TEXT",
 * "# expect TENANT GATEWAY CONNECTIONS" with "*" for all of them.
 */
final class SuiteFile {
    final String name;
    final byte[] bytes;
    final Set<String> expected = new TreeSet<>();
    final List<String[]> results = new ArrayList<>();
    private final Map<String, Set<String>> known = new HashMap<>();
    private final Map<String, Set<String>> knownEngines = new HashMap<>();
    private int maxGateways = 1;
    private final List<SolverInput.Engine> engines = new ArrayList<>();
    private final List<SolverInput.Gateway> gateways = new ArrayList<>();
    private final List<SolverInput.Demand> demands = new ArrayList<>();
    private Instant now = Instant.parse("2026-01-15T12:00:00Z");
    private ZoneId timeZone = ZoneId.of("UTC");
    private Phase phase = Phase.CALM;
    private double condemned;
    private final Set<String> isolated = new HashSet<>();
    private final List<FleetState.Outage> outages = new ArrayList<>();

    SuiteFile(Path path) throws IOException {
        name = path.getFileName().toString();
        bytes = Files.readAllBytes(path);
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r\n|\r|\n")) {
            if (line.startsWith("# ")) {
                String[] words = line.substring(2).split(" +");
                read(words, line.substring(2));
            }
        }
    }

    private void read(String[] words, String line) {
        switch (words[0]) {
            case "fault", "warning" -> expected.add(line);
            case "expect" -> results.add(words);
            case "known" -> known(words);
            case "engine" -> {
                for (int i = 1; i <= Integer.parseInt(words[2]); i++) {
                    engines.add(new SolverInput.Engine(words[1] + "-" + i, words[1], words.length > 3));
                }
            }
            case "gateway" -> gateways.add(new SolverInput.Gateway(words[1], words[2]));
            case "demand" ->
                demands.add(new SolverInput.Demand(words[1], words[2], words[3], words[4], Integer.parseInt(words[5])));
            case "state" -> state(words[1], words[2], words.length > 3 ? Integer.parseInt(words[3]) : 0);
            default -> {} // a comment for people
        }
    }

    private void known(String[] words) {
        switch (words[1]) {
            case "engines" -> {
                Set<String> names = new HashSet<>();
                for (int i = 1; i <= Integer.parseInt(words[3]); i++) {
                    names.add(words[2] + "-" + i);
                }
                knownEngines.put(words[2], names);
            }
            case "most-gateways" -> maxGateways = Integer.parseInt(words[2]);
            default ->
                known.put(
                        words[1],
                        Set.of(words).stream()
                                .filter(w -> !w.equals("known") && !w.equals(words[1]))
                                .collect(Collectors.toSet()));
        }
    }

    private void state(String what, String value, int minutes) {
        switch (what) {
            case "phase" -> phase = Phase.valueOf(value);
            case "now" -> now = Instant.parse(value);
            case "zone" -> timeZone = ZoneId.of(value);
            case "condemned" -> condemned = Double.parseDouble(value);
            case "isolated" -> isolated.add(value);
            case "outage" ->
                outages.add(new FleetState.Outage(
                        value, now.plus(Duration.ofMinutes(minutes)), now.plus(Duration.ofMinutes(minutes + 60L))));
            default -> throw new IllegalArgumentException(name + ": " + what);
        }
    }

    KnownNames known() {
        return new KnownNames(
                knownEngines.isEmpty() ? Optional.empty() : Optional.of(knownEngines),
                Optional.ofNullable(known.get("classes")),
                Optional.ofNullable(known.get("halls")),
                Optional.ofNullable(known.get("gateways")),
                Optional.ofNullable(known.get("tenants")),
                maxGateways);
    }

    SolverInput solverInput() {
        return new SolverInput(
                new FleetState(now, timeZone, phase, condemned, isolated, outages), gateways, engines, demands);
    }

    static List<Path> all(String folder) {
        try (var files = Files.list(Path.of(SuiteFile.class.getResource(folder).toURI()))) {
            return files.sorted().toList();
        } catch (IOException | URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
