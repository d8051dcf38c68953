package sandpaddle.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.lab.GatewayProcess;
import sandpaddle.lab.Loopback;

/** The members, limits and configuration files of the fleet of a scale run. All timing settings are the defaults. */
final class ScaleFleet {
    /** The limit whose burst is the version of the configuration; it shows the applied version at each gateway. */
    static final String VERSION_LIMIT = "version";
    /** The limit on all attempts of the fleet; each other limit is on one tenant. */
    static final String ALL_LIMIT = "all";
    /** The agreed configuration counts a burst in thousandths. */
    static final long THOUSANDTHS = 1000;

    /** The part of the mean demand that the limit on all attempts admits. */
    private static final double ADMITTED_DEMAND_FRACTION = 0.8;

    private static final String CLUSTER = "scale";
    private static final int PLACEHOLDER_PORT = 20_000;

    private final Path folder;
    private final ScalePlan.Size size;
    private final List<Member> control = new ArrayList<>();
    private final List<Member> gateways = new ArrayList<>();

    ScaleFleet(Path folder, ScalePlan.Size size) throws IOException {
        this.folder = folder;
        this.size = size;
        for (int i = 0; i < size.controlMachines(); i++) {
            control.add(member(controlName(i), i));
        }
        for (int i = 0; i < size.gateways(); i++) {
            gateways.add(member(gatewayName(i), i));
        }
    }

    private Member member(String name, int index) throws IOException {
        return new Member(name, size.zone(index), Loopback.HOST, GatewayProcess.freePort());
    }

    /**
     * Checks a size before the run starts.
     *
     * @throws RunRejectedException if the size exceeds a limit of the program or of this machine
     */
    static void check(ScalePlan.Size size) throws RunRejectedException, IOException {
        List<String> faults = new ArrayList<>(ProgramLimits.faults(size, agreedConfig(size)));
        int hosts = ScaleRun.hostCount(size.gateways());
        faults.addAll(MachineLimits.faults(
                size, hosts, (size.gateways() + hosts - 1) / hosts, MachineLimits.Available.onThisMachine()));
        if (!faults.isEmpty()) {
            throw new RunRejectedException(faults);
        }
    }

    /** The configuration of a fleet of a size, with a placeholder port. */
    private static FleetConfig agreedConfig(ScalePlan.Size size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size.controlMachines(); i++) {
            members.add(new Member(controlName(i), size.zone(i), Loopback.HOST, PLACEHOLDER_PORT));
        }
        for (int i = 0; i < size.gateways(); i++) {
            members.add(new Member(gatewayName(i), size.zone(i), Loopback.HOST, PLACEHOLDER_PORT));
        }
        return new FleetConfig(1, members, limits(size, 1), "", "");
    }

    private static String controlName(int index) {
        return "control-" + index;
    }

    private static String gatewayName(int index) {
        return String.format(Locale.ROOT, "gateway-%04d", index);
    }

    List<Member> control() {
        return control;
    }

    List<Member> gateways() {
        return gateways;
    }

    /** The names of the zones, by index. */
    List<String> zones() {
        List<String> zones = new ArrayList<>();
        for (int i = 0; i < size.zones(); i++) {
            zones.add(size.zone(i));
        }
        return zones;
    }

    /** The name of the limit of a tenant, by its number from 1 on. */
    static String tenantLimit(int tenant) {
        return "tenant-" + tenant;
    }

    /** The fleet-wide configuration with a version. */
    FleetConfig agreed(long version) {
        List<Member> members = new ArrayList<>(control);
        members.addAll(gateways);
        return new FleetConfig(version, members, limits(size, version), "", "");
    }

    private static List<LimitSpec> limits(ScalePlan.Size size, long version) {
        List<LimitSpec> limits = new ArrayList<>();
        limits.add(versionLimit(version));
        long totalLimit = Math.max(
                1, Math.round(SimulatedDemand.MEAN_CONCURRENT_QUERIES * size.gateways() * ADMITTED_DEMAND_FRACTION));
        limits.add(new LimitSpec(ALL_LIMIT, LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, totalLimit, 0));
        for (int tenant = 1; tenant < size.limits(); tenant++) { // one concurrent attempt per gateway
            limits.add(new LimitSpec(
                    tenantLimit(tenant),
                    new LimitScope(null, null, tenantLimit(tenant), null),
                    LimitUnit.RUNNING,
                    size.gateways(),
                    0));
        }
        return limits;
    }

    /** The limit that carries a version. */
    static LimitSpec versionLimit(long version) {
        return new LimitSpec(
                VERSION_LIMIT,
                new LimitScope(null, null, "nobody", null),
                LimitUnit.RATE,
                THOUSANDTHS,
                version * THOUSANDTHS);
    }

    /** Writes the operator's file of a control machine. */
    Path controlFile(Member member) throws IOException {
        return write(
                member.name(),
                member,
                Map.of(),
                String.format(Locale.ROOT, "\"directory\":\"%s\",", folder.resolve(member.name() + ".disk")));
    }

    /** Writes the operator's file that all simulated gateways share; each overrides name and port. */
    Path gatewayFile(String name, Map<String, InetSocketAddress> routes) throws IOException {
        return write(name, gateways.get(0), routes, "");
    }

    private Path write(String name, Member member, Map<String, InetSocketAddress> routes, String directory)
            throws IOException {
        FleetConfig agreed = agreed(1);
        String membersJson = agreed.members().stream()
                .map(entry -> String.format(
                        Locale.ROOT,
                        "{\"name\":\"%s\",\"hall\":\"%s\",\"address\":\"%s:%d\"}",
                        entry.name(),
                        entry.zone(),
                        entry.host(),
                        entry.port()))
                .collect(Collectors.joining(",\n"));
        String foundersJson =
                control.stream().map(entry -> "\"" + entry.name() + "\"").collect(Collectors.joining(","));
        String routesJson = routes.entrySet().stream()
                .map(e -> String.format(
                        Locale.ROOT,
                        "\"%s\":\"%s:%d\"",
                        e.getKey(),
                        e.getValue().getHostString(),
                        e.getValue().getPort()))
                .collect(Collectors.joining(","));
        String content = String.format(
                Locale.ROOT,
                """
                {"log":{"level":"info"},"fleet":{"enabled":true,"cluster":"%s","listen":"%s:%d",%s
                "founders":[%s],"routes":{%s},"voters":{"count":%d,"replace_ms":600000},
                "agreed":{"version":1,"members":[%s],"limits":[%s]}}}
                """,
                CLUSTER,
                member.host(),
                member.port(),
                directory,
                foundersJson,
                routesJson,
                Math.max(3, size.controlMachines()),
                membersJson,
                agreed.limits().stream().map(ScaleFleet::json).collect(Collectors.joining(",\n")));
        return Files.writeString(folder.resolve(name + ".operator.json"), content);
    }

    private static String json(LimitSpec limit) {
        String tenant = limit.scope().tenant() == null
                ? ""
                : ",\"tenant\":\"" + limit.scope().tenant() + "\"";
        String amount = limit.unit() == LimitUnit.RATE
                ? String.format(
                        Locale.ROOT,
                        "\"per_s\":%d,\"burst\":%d",
                        limit.amount() / THOUSANDTHS,
                        limit.burst() / THOUSANDTHS)
                : "\"running\":" + limit.amount();
        return "{\"name\":\"" + limit.id() + "\"" + tenant + "," + amount + "}";
    }
}
