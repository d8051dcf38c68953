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

/** The members, limits and files of a fleet at scale. All times are the program's defaults. */
final class ScaleSite {
    /** The limit whose burst is the version of the configuration: it shows at each gateway what is in force there. */
    static final String VERSION_LIMIT = "version";
    /** The limit on all attempts of the fleet; the others are by tenant. */
    static final String ALL_LIMIT = "all";
    /** Thousandths of a burst in the agreed form. */
    static final long THOUSANDTHS = 1000;

    private static final double LIMITED = 0.8; // part of the demand that the limit on all lets through
    private static final String CLUSTER = "scale";
    private static final int ANY_PORT = 20_000;

    private final Path folder;
    private final ScalePlan.Size size;
    private final List<Member> control = new ArrayList<>();
    private final List<Member> hollow = new ArrayList<>();

    ScaleSite(Path folder, ScalePlan.Size size) throws IOException {
        this.folder = folder;
        this.size = size;
        for (int i = 0; i < size.controlMachines(); i++) {
            control.add(member(controlName(i), i));
        }
        for (int i = 0; i < size.gateways(); i++) {
            hollow.add(member(gatewayName(i), i));
        }
    }

    private Member member(String name, int index) throws IOException {
        return new Member(name, size.zone(index), Loopback.HOST, GatewayProcess.freePort());
    }

    /** Refuses a size that the program or this machine does not bear, before anything of it is made. */
    static void check(ScalePlan.Size size) throws RefusedException, IOException {
        List<String> faults = new ArrayList<>(ProgramBounds.faults(size, agreedOf(size)));
        int hosts = ScaleRun.hosts(size.gateways());
        faults.addAll(MachineBounds.faults(
                size, hosts, (size.gateways() + hosts - 1) / hosts, MachineBounds.Available.here()));
        if (!faults.isEmpty()) {
            throw new RefusedException(faults);
        }
    }

    /** The configuration of a size, with a port that stands for any. */
    private static FleetConfig agreedOf(ScalePlan.Size size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size.controlMachines(); i++) {
            members.add(new Member(controlName(i), size.zone(i), Loopback.HOST, ANY_PORT));
        }
        for (int i = 0; i < size.gateways(); i++) {
            members.add(new Member(gatewayName(i), size.zone(i), Loopback.HOST, ANY_PORT));
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

    List<Member> hollow() {
        return hollow;
    }

    /** The names of zones, by number. */
    List<String> zones() {
        List<String> zones = new ArrayList<>();
        for (int i = 0; i < size.zones(); i++) {
            zones.add(size.zone(i));
        }
        return zones;
    }

    /** The limit of a tenant, by its number from 1 on. */
    static String tenantLimit(int tenant) {
        return "tenant-" + tenant;
    }

    /** What holds for the whole fleet, by version. */
    FleetConfig agreed(long version) {
        List<Member> members = new ArrayList<>(control);
        members.addAll(hollow);
        return new FleetConfig(version, members, limits(size, version), "", "");
    }

    private static List<LimitSpec> limits(ScalePlan.Size size, long version) {
        List<LimitSpec> limits = new ArrayList<>();
        limits.add(versionLimit(version));
        long ofAll = Math.max(1, Math.round(HollowDemand.MEAN_RUNNING * size.gateways() * LIMITED));
        limits.add(new LimitSpec(ALL_LIMIT, LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, ofAll, 0));
        for (int t = 1; t < size.limits(); t++) { // one right for each gateway
            limits.add(new LimitSpec(
                    tenantLimit(t),
                    new LimitScope(null, null, tenantLimit(t), null),
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
    Path controlFile(Member m) throws IOException {
        return write(
                m.name(),
                m,
                Map.of(),
                String.format(Locale.ROOT, "\"directory\":\"%s\",", folder.resolve(m.name() + ".disk")));
    }

    /** Writes the operator's file that hollow gateways share, each with its own name and port. */
    Path hollowFile(String name, Map<String, InetSocketAddress> routes) throws IOException {
        return write(name, hollow.get(0), routes, "");
    }

    private Path write(String name, Member m, Map<String, InetSocketAddress> routes, String directory)
            throws IOException {
        FleetConfig agreed = agreed(1);
        String members = agreed.members().stream()
                .map(x -> String.format(
                        Locale.ROOT,
                        "{\"name\":\"%s\",\"hall\":\"%s\",\"address\":\"%s:%d\"}",
                        x.name(),
                        x.zone(),
                        x.host(),
                        x.port()))
                .collect(Collectors.joining(",\n"));
        String founders = control.stream().map(x -> "\"" + x.name() + "\"").collect(Collectors.joining(","));
        String ways = routes.entrySet().stream()
                .map(e -> String.format(
                        Locale.ROOT,
                        "\"%s\":\"%s:%d\"",
                        e.getKey(),
                        e.getValue().getHostString(),
                        e.getValue().getPort()))
                .collect(Collectors.joining(","));
        String text = String.format(
                Locale.ROOT,
                """
                {"log":{"level":"info"},"fleet":{"enabled":true,"cluster":"%s","listen":"%s:%d",%s
                "founders":[%s],"routes":{%s},"voters":{"count":%d,"replace_ms":600000},
                "agreed":{"version":1,"members":[%s],"limits":[%s]}}}
                """,
                CLUSTER,
                m.host(),
                m.port(),
                directory,
                founders,
                ways,
                Math.max(3, size.controlMachines()),
                members,
                agreed.limits().stream().map(ScaleSite::json).collect(Collectors.joining(",\n")));
        return Files.writeString(folder.resolve(name + ".operator.json"), text);
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
