package sandpaddle.lab.scale;

import java.io.IOException;
import java.io.Reader;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Properties;

/**
 * Parameters of one process of simulated gateways, passed in a properties file.
 *
 * @param disconnectedZone the zone whose gateways connect to the control machines through the routes of the operator's
 *     file, which a run can disconnect; all others connect directly. Empty if there is none
 * @param startInterval time between the starts of two gateways
 * @param sampled whether its CPU time is measured; such a process runs with the JVM flags of a production gateway
 */
record SimulationHostPlan(
        Path operator,
        Path config,
        Path events,
        List<String> names,
        int engines,
        int tenants,
        long seed,
        String disconnectedZone,
        Duration startInterval,
        boolean sampled) {

    /** Whether gateways of this zone connect to the control machines through relays. */
    boolean usesRelay(String zone) {
        return zone.equals(disconnectedZone);
    }

    void write(Path file) throws IOException {
        Properties properties = new Properties();
        properties.setProperty("operator", operator.toString());
        properties.setProperty("config", config.toString());
        properties.setProperty("events", events.toString());
        properties.setProperty("names", String.join(",", names));
        properties.setProperty("engines", Integer.toString(engines));
        properties.setProperty("tenants", Integer.toString(tenants));
        properties.setProperty("seed", Long.toString(seed));
        properties.setProperty("cutZone", disconnectedZone);
        properties.setProperty("startPauseMs", Long.toString(startInterval.toMillis()));
        properties.setProperty("sampled", Boolean.toString(sampled));
        try (Writer writer = Files.newBufferedWriter(file)) {
            properties.store(writer, null);
        }
    }

    static SimulationHostPlan read(Path file) throws IOException {
        Properties properties = new Properties();
        try (Reader reader = Files.newBufferedReader(file)) {
            properties.load(reader);
        }
        return new SimulationHostPlan(
                Path.of(properties.getProperty("operator")),
                Path.of(properties.getProperty("config")),
                Path.of(properties.getProperty("events")),
                List.of(properties.getProperty("names").split(",")),
                Integer.parseInt(properties.getProperty("engines")),
                Integer.parseInt(properties.getProperty("tenants")),
                Long.parseLong(properties.getProperty("seed")),
                properties.getProperty("cutZone"),
                Duration.ofMillis(Long.parseLong(properties.getProperty("startPauseMs"))),
                Boolean.parseBoolean(properties.getProperty("sampled")));
    }
}
