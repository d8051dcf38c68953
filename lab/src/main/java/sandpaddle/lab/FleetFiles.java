package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes the files of a fleet: each gateway's configuration and operator's file. */
final class FleetFiles {
    /** Lease timing in the lab: short, so that an expiry is observed within a run. */
    static final long HEARTBEAT_INTERVAL_MS = 100;

    static final long LEASE_MS = 3000;
    static final long ENGINE_EXPIRY_MS = 2300;
    static final long CLOCK_SLACK_MS = 300;
    static final double DRIFT = 0.005;

    /**
     * A gateway of the fleet.
     *
     * @param port at which its peers reach it
     */
    record Member(String name, String zone, int port) {}

    private final Path folder;
    private final boolean sharing;
    private final List<Member> members = new ArrayList<>();
    private List<FleetLimit> limits;
    private long version = 1;
    private String outages = "";
    private String pool = "";

    FleetFiles(Path folder, boolean sharing, List<FleetLimit> limits) {
        this.folder = folder;
        this.sharing = sharing;
        this.limits = List.copyOf(limits);
    }

    List<Member> members() {
        return members;
    }

    void addMember(Member member) {
        members.add(member);
    }

    void removeMember(String name) {
        members.removeIf(member -> member.name.equals(name));
    }

    /** Adds a scheduled outage to the files. */
    void scheduleOutage(OutagePlan plan) {
        outages = plan.operatorSections();
    }

    /**
     * Adds a pool policy to the files.
     *
     * @param each connections for each engine
     * @param weight of one tenant
     */
    void pool(int each, int weight) throws IOException {
        Path file = folder.resolve("pool-" + version + ".policy");
        Files.writeString(file, String.format(Locale.ROOT, """
                policy "lab" version %d
                budget engine kind "std-8" %d connections each
                reserve control 1 each
                borrow idle give back within 1 s
                default tenant weight 1 floor 1
                tenant "acme" weight %d
                """, version, each, weight));
        pool = "\"pool\":\"" + file.toAbsolutePath() + "\",";
    }

    List<FleetLimit> limits() {
        return limits;
    }

    /** Publishes limits and members as a new version, which supersedes the last. */
    void publishVersion(List<FleetLimit> newLimits) {
        version++;
        limits = List.copyOf(newLimits);
    }

    long version() {
        return version;
    }

    Path directory(String name) {
        return folder.resolve(name + ".disk");
    }

    /**
     * Writes a gateway's operator's file.
     *
     * @param routes addresses of its peers as it reaches them
     */
    Path writeOperatorFile(Member member, int founders, Map<String, InetSocketAddress> routes) throws IOException {
        String memberList = members.stream()
                .map(peer -> String.format(
                        Locale.ROOT,
                        "{\"name\":\"%s\",\"hall\":\"%s\",\"address\":\"%s:%d\"}",
                        peer.name,
                        peer.zone,
                        Loopback.HOST,
                        peer.port))
                .collect(Collectors.joining(","));
        String founderList = members.stream()
                .limit(founders)
                .map(peer -> "\"" + peer.name + "\"")
                .collect(Collectors.joining(","));
        String routeList = routes.entrySet().stream()
                .map(e -> String.format(
                        Locale.ROOT,
                        "\"%s\":\"%s:%d\"",
                        e.getKey(),
                        Loopback.HOST,
                        e.getValue().getPort()))
                .collect(Collectors.joining(","));
        String text = String.format(
                Locale.ROOT,
                """
                {"log":{"level":"info"},"fleet":{"enabled":%s,"cluster":"lab","listen":"%s:%d","directory":"%s",
                "founders":[%s],"routes":{%s},
                "rights":{"beat_ms":%d,"lease_ms":%d,"engine_forget_ms":%d,"slack_ms":%d,"drift":%s,"outlive_ms":%d},
                "voters":{"count":3,"replace_ms":8000,"steady_ms":1500,"settle_ms":1500},
                "store":{"most_bytes":1048576,"room_bytes":2097152,"probe_ms":300},
                %s"agreed":{"version":%d,%s"members":[%s],"limits":[%s]}}}
                """,
                sharing,
                Loopback.HOST,
                member.port,
                directory(member.name),
                founderList,
                routeList,
                HEARTBEAT_INTERVAL_MS,
                LEASE_MS,
                ENGINE_EXPIRY_MS,
                CLOCK_SLACK_MS,
                DRIFT,
                maxLoadRunMs(),
                outages,
                version,
                pool,
                memberList,
                limits.stream().map(FleetLimit::json).collect(Collectors.joining(",")));
        return Files.writeString(folder.resolve(member.name + ".operator.json"), text);
    }

    /** Longest run time of a load: until its client times out. */
    static long maxLoadRunMs() {
        return LabDeployment.REQUEST_CLASSES.stream()
                        .filter(k -> !k.repeatable())
                        .mapToLong(LabDeployment.RequestClass::timeoutUs)
                        .max()
                        .orElse(0)
                / 1000;
    }

    /**
     * Returns the time after its commit from which a lowered limit is in effect at every gateway, isolated or not (us).
     */
    static long loweredLimitEffectiveAfterUs() {
        return (long) ((LEASE_MS + ENGINE_EXPIRY_MS + CLOCK_SLACK_MS + maxLoadRunMs()) * 1000 / (1 - DRIFT));
    }

    /** Writes the platform configuration of a gateway that may talk to its peers. */
    Path writeConfiguration(
            Member member,
            int index,
            int gateways,
            int port,
            InetSocketAddress feed,
            String known,
            long seed,
            EngineModel.Spec spec)
            throws IOException {
        String text = LabDeployment.config(member.name, index, gateways, port, feed, known, seed, spec)
                .replace("\"peers\":false", "\"peers\":true");
        return Files.writeString(folder.resolve(member.name + ".json"), text);
    }
}
