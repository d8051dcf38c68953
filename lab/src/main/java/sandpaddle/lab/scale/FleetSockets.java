package sandpaddle.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandpaddle.lab.scale.ProcessSample.SocketBytes;

/** Byte counters of the fleet's TCP connections by process, read from the kernel with {@code ss}. */
final class FleetSockets {
    private static final Pattern ENDPOINTS = Pattern.compile("\\s(\\S+):(\\d+)\\s+(\\S+):(\\d+)\\s");
    private static final Pattern PID = Pattern.compile("pid=(\\d+),");
    private static final Pattern SENT = Pattern.compile("bytes_acked:(\\d+)");
    private static final Pattern RECEIVED = Pattern.compile("bytes_received:(\\d+)");

    private FleetSockets() {}

    /**
     * Reads the counters of all established connections with an endpoint on one of the ports.
     *
     * @return counters by process id, then by the endpoints of the connection; empty if {@code ss} cannot be run
     */
    static Map<Long, Map<String, SocketBytes>> read(Set<Integer> fleetPorts) {
        Map<Long, Map<String, SocketBytes>> byProcess = new HashMap<>();
        try {
            Process ss = new ProcessBuilder("ss", "-tinpHO", "state", "established")
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            String text = new String(ss.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            text.lines().forEach(line -> addLine(line, fleetPorts, byProcess));
        } catch (IOException e) {
            return Map.of();
        }
        return byProcess;
    }

    private static void addLine(String line, Set<Integer> fleetPorts, Map<Long, Map<String, SocketBytes>> byProcess) {
        Matcher endpoints = ENDPOINTS.matcher(line);
        Matcher pid = PID.matcher(line);
        if (!endpoints.find()
                || !pid.find()
                || !fleetPorts.contains(Integer.parseInt(endpoints.group(2)))
                        && !fleetPorts.contains(Integer.parseInt(endpoints.group(4)))) {
            return;
        }
        byProcess
                .computeIfAbsent(Long.parseLong(pid.group(1)), key -> new HashMap<>())
                .put(endpoints.group().strip(), new SocketBytes(number(RECEIVED, line), number(SENT, line)));
    }

    private static long number(Pattern pattern, String line) {
        Matcher matcher = pattern.matcher(line);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0; // ss omits a counter that is 0
    }
}
