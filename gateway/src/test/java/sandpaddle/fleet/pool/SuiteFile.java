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
 * A policy file of the suite, with the input and the expected results that its comments state.
 *
 * <ul>
 *   <li>Input of the checker: {@code # known KIND NAME...}
 *   <li>Input of the solver: {@code # engine KIND COUNT}, {@code # gateway NAME ZONE},
 *       {@code # demand TENANT CLASS GATEWAY KIND CONNECTIONS}, {@code # state KEY VALUE}
 *   <li>Expected results: {@code # fault LINE:COLUMN TEXT}, {@code # warning LINE:COLUMN TEXT},
 *       {@code # expect TENANT GATEWAY CONNECTIONS} with {@code *} for all tenants or gateways
 * </ul>
 */
final class SuiteFile {
    final String name;
    final byte[] bytes;
    final Set<String> expectedDiagnostics = new TreeSet<>();
    final List<String[]> expectedAllocations = new ArrayList<>();
    private final Map<String, Set<String>> known = new HashMap<>();
    private final Map<String, Set<String>> knownEngines = new HashMap<>();
    private int maxGateways = 1;
    private final List<SolverInput.Engine> engines = new ArrayList<>();
    private final List<SolverInput.Gateway> gateways = new ArrayList<>();
    private final List<SolverInput.Demand> demands = new ArrayList<>();
    private Instant now = Instant.parse("2026-01-15T12:00:00Z");
    private ZoneId timeZone = ZoneId.of("UTC");
    private Phase phase = Phase.CALM;
    private double ejectedFraction;
    private final Set<String> isolated = new HashSet<>();
    private final List<FleetState.Outage> outages = new ArrayList<>();

    SuiteFile(Path path) throws IOException {
        name = path.getFileName().toString();
        bytes = Files.readAllBytes(path);
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r\n|\r|\n")) {
            if (line.startsWith("# ")) {
                String[] words = line.substring(2).split(" +");
                readComment(words, line.substring(2));
            }
        }
    }

    private void readComment(String[] words, String line) {
        switch (words[0]) {
            case "fault", "warning" -> expectedDiagnostics.add(line);
            case "expect" -> expectedAllocations.add(words);
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
            default -> {} // an ordinary comment
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

    private void state(String key, String value, int minutes) {
        switch (key) {
            case "phase" -> phase = Phase.valueOf(value);
            case "now" -> now = Instant.parse(value);
            case "zone" -> timeZone = ZoneId.of(value);
            case "condemned" -> ejectedFraction = Double.parseDouble(value);
            case "isolated" -> isolated.add(value);
            case "outage" ->
                outages.add(new FleetState.Outage(
                        value, now.plus(Duration.ofMinutes(minutes)), now.plus(Duration.ofMinutes(minutes + 60L))));
            default -> throw new IllegalArgumentException(name + ": " + key);
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
                new FleetState(now, timeZone, phase, ejectedFraction, isolated, outages), gateways, engines, demands);
    }

    static List<Path> files(String folder) {
        try (var files = Files.list(Path.of(SuiteFile.class.getResource(folder).toURI()))) {
            return files.sorted().toList();
        } catch (IOException | URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
