package sandpaddle.lab.capacity;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;

/** The committed measurements: points of the request path, and scale runs with and without an injected fault. */
record Measurements(List<Sample> samples, List<FaultRun> faults) {
    /** The mechanism name of request path measurements, which use a single gateway. */
    static final String PATH = "request path";
    /** The role of values of a scale run that are the maximum over all gateways. */
    static final String WORST_GATEWAY = "worst gateway";

    /** The role of values of a scale run that are the maximum over all control machines. */
    static final String WORST_MACHINE = "worst control machine";
    /** The role of values of a scale run that are of the whole fleet. */
    static final String FLEET = "fleet";

    private static final String NO_FAULT = "none";
    private static final List<String> GATEWAY_FIGURES =
            List.of("gatewayBytesPerSecond", "gatewayCpuCores", "gatewayMemoryMb");
    private static final List<String> MACHINE_FIGURES =
            List.of("machineBytesPerSecond", "machineCpuCores", "machineMemoryMb");
    private static final List<String> FLEET_FIGURES = List.of("configLastMs", "joinLastMs", "verdictLastMs");
    /** Durations that only one kind of fault can produce, with the name of that fault. */
    private static final Map<String, String> FAULT_BY_DURATION =
            Map.of("leaderLastMs", "control-machine", "successorLastMs", "successor");

    private static final List<String> ROLE_FIGURES = List.of(
            "bytesInPerSecond",
            "bytesOutPerSecond",
            "messagesInPerSecond",
            "messagesOutPerSecond",
            "cpuCores",
            "heapMb",
            "directMb",
            "residentMb",
            "descriptors",
            "diskBytesPerSecond",
            "snapshotBytes",
            "snapshotMs",
            "agreementMsMedian",
            "agreementMsP99");
    private static final List<String> FAULT_EFFECTS = List.of(
            "configLastMs",
            "configNotHeard",
            "leaderLastMs",
            "leaderNotHeard",
            "successorLastMs",
            "returnLastMs",
            "restartLastMs",
            "limitOverMost",
            "agreedLost",
            "olderVersions",
            "wrongVerdicts",
            "bystandersWithoutLease",
            "notRestarted");
    private static final List<Axis> SCALE_AXES =
            List.of(Axis.GATEWAYS, Axis.ENGINES, Axis.LIMITS, Axis.CHANGES, Axis.CONTROL_MACHINES);
    private static final String CPU_BY_THREAD = "cpuByThread";
    /** Name prefix of the threads of the fleet component; other threads are not read. */
    private static final String FLEET_THREAD_PREFIX = "fleet";
    /** The role of the processes of simulated gateways, which are not part of a fleet. */
    private static final String SIMULATION_HOST_ROLE = "hollow-host";

    /** Reads every JSON file of a folder; returns no measurements if the folder does not exist. */
    static Measurements read(Path folder) throws IOException, InvalidMeasurementsException {
        Measurements measurements = new Measurements(new ArrayList<>(), new ArrayList<>());
        List<String> faults = new ArrayList<>();
        for (Path file : files(folder)) {
            try {
                measurements.add(object(file));
            } catch (InvalidFieldException | com.fasterxml.jackson.core.JsonProcessingException e) {
                faults.add(file + ": " + e.getMessage().lines().findFirst().orElse("invalid JSON"));
            }
        }
        if (!faults.isEmpty()) {
            throw new InvalidMeasurementsException(faults);
        }
        return measurements;
    }

    private static List<Path> files(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            return List.of();
        }
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> f.getFileName().toString().endsWith(".json"))
                    .sorted()
                    .collect(Collectors.toList());
        }
    }

    private static Map<String, Object> object(Path file) throws IOException, InvalidFieldException {
        try (JsonParser in = new JsonFactory().createParser(file.toFile())) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidFieldException("expected a JSON object");
            }
            Map<String, Object> fields = JsonObject.read(in, "").asMap();
            if (in.nextToken() != null) {
                throw new InvalidFieldException("expected end of file after the JSON object");
            }
            return fields;
        }
    }

    private void add(Map<String, Object> fields) throws InvalidFieldException {
        JsonObject row = new JsonObject("", fields);
        if (row.has("kind")) {
            addPath(row);
        } else if (row.has("roles")) {
            addScale(row, fields);
        } else {
            throw new InvalidFieldException("expected field 'kind' of a path measurement or 'roles' of a scale run");
        }
    }

    private void addPath(JsonObject row) throws InvalidFieldException {
        SeriesName series = new SeriesName(PATH, "gateway", row.string("kind"));
        Map<Axis, Double> sizes = new EnumMap<>(Axis.class);
        JsonObject sizeFields = row.object("sizes");
        for (Axis axis : Axis.values()) {
            if (sizeFields.has(axis.field())) {
                sizes.put(axis, sizeFields.number(axis.field()));
            }
        }
        if (sizes.isEmpty()) {
            throw row.invalidField("sizes", "has no known size");
        }
        List<?> repeats = row.list("repeats");
        if (repeats.isEmpty()) {
            throw row.invalidField("repeats", "is empty");
        }
        for (Object repeat : repeats) {
            if (!(repeat instanceof Number n)) {
                throw row.invalidField("repeats", "has an element that is not a number");
            }
            samples.add(new Sample(series, row.string("version"), sizes, n.doubleValue(), row.string("unit")));
        }
    }

    private void addScale(JsonObject row, Map<String, Object> fields) throws InvalidFieldException {
        String fault = row.has("fault") ? row.string("fault") : NO_FAULT;
        Map<Axis, Double> sizes = new EnumMap<>(Axis.class);
        for (Axis axis : SCALE_AXES) {
            double size = row.number(axis.field());
            if (size < 0) {
                throw row.invalidField(axis.field(), "is negative");
            }
            sizes.put(axis, size);
        }
        ScaleSampleCollector scaleSamples =
                new ScaleSampleCollector(row.string("mechanism"), row.string("version"), sizes);
        for (Map.Entry<String, String> time : FAULT_BY_DURATION.entrySet()) {
            if (fault.equals(time.getValue())) {
                scaleSamples.add(FLEET, time.getKey(), row);
            }
        }
        if (!fault.equals(NO_FAULT)) {
            faults.add(new FaultRun(
                    scaleSamples.mechanism, scaleSamples.version, fault, (int) row.integer("gateways"), effects(row)));
            return;
        }
        for (String name : GATEWAY_FIGURES) {
            scaleSamples.add(WORST_GATEWAY, name, row);
        }
        for (String name : MACHINE_FIGURES) {
            scaleSamples.add(WORST_MACHINE, name, row);
        }
        for (String name : FLEET_FIGURES) {
            scaleSamples.add(FLEET, name, row);
        }
        addRoles(scaleSamples, row.objects("roles"), (List<?>) fields.get("roles"));
    }

    private static void addRoles(ScaleSampleCollector scaleSamples, List<JsonObject> roles, List<?> fields)
            throws InvalidFieldException {
        for (int i = 0; i < roles.size(); i++) {
            JsonObject role = roles.get(i);
            String name = role.string("role");
            if (name.equals(SIMULATION_HOST_ROLE) || role.number("count") == 0) {
                continue;
            }
            for (String figure : ROLE_FIGURES) {
                scaleSamples.add(name, figure, role);
            }
            if (role.has(CPU_BY_THREAD)
                    && ((Map<?, ?>) fields.get(i)).get(CPU_BY_THREAD) instanceof Map<?, ?> threads) {
                JsonObject byThread = role.object(CPU_BY_THREAD);
                for (Object thread : threads.keySet()) {
                    if (thread.toString().startsWith(FLEET_THREAD_PREFIX)) {
                        scaleSamples.add(name, thread.toString(), CPU_BY_THREAD + "." + thread, byThread);
                    }
                }
            }
        }
    }

    private static SortedMap<String, Double> effects(JsonObject row) throws InvalidFieldException {
        SortedMap<String, Double> figures = new TreeMap<>();
        for (String name : FAULT_EFFECTS) {
            if (row.has(name)) {
                figures.put(name, row.number(name));
            }
        }
        return figures;
    }

    /** Collects the values of one scale run; a value that is null is skipped. */
    private final class ScaleSampleCollector {
        private final String mechanism;
        private final String version;
        private final Map<Axis, Double> sizes;

        ScaleSampleCollector(String mechanism, String version, Map<Axis, Double> sizes) {
            this.mechanism = mechanism;
            this.version = version;
            this.sizes = sizes;
        }

        void add(String role, String figure, JsonObject row) throws InvalidFieldException {
            add(role, figure, figure, row);
        }

        void add(String role, String field, String measure, JsonObject row) throws InvalidFieldException {
            if (row.has(field)) {
                samples.add(new Sample(
                        new SeriesName(mechanism, role, measure), version, sizes, row.number(field), unit(measure)));
            }
        }
    }

    /** The unit of a measure, derived from its name. */
    static String unit(String measure) {
        if (measure.startsWith(CPU_BY_THREAD) || measure.endsWith("Cores")) {
            return "cores";
        } else if (measure.endsWith("BytesPerSecond") || measure.startsWith("bytes")) {
            return "bytes/s";
        } else if (measure.startsWith("messages")) {
            return "messages/s";
        } else if (measure.endsWith("Mb")) {
            return "MB";
        } else if (measure.contains("Ms")) {
            return "ms";
        } else if (measure.endsWith("Bytes")) {
            return "bytes";
        }
        return "count";
    }
}
