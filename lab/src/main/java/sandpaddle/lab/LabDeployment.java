package sandpaddle.lab;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The simulated deployment: request classes, clients and rules after the operators' requirements, scaled down to one
 * machine.
 */
public final class LabDeployment {
    /**
     * A request class.
     *
     * @param trafficShare share of all queries
     * @param workUs mean work in microseconds of one thread
     * @param cpuFraction share of the work that needs a core
     * @param repeatable whether a query may run twice
     */
    record RequestClass(
            String name,
            double trafficShare,
            double workUs,
            int threads,
            double cpuFraction,
            long latencyObjectiveUs,
            double objectiveStretch,
            long timeoutUs,
            double priorityWeight,
            double lateWeightFactor,
            boolean repeatable,
            double estimateMb) {}

    static final List<RequestClass> REQUEST_CLASSES = List.of(
            new RequestClass("lookup", 0.78, 325_000, 1, 0.7, 1_500_000, 1.5, 7_500_000, 1, 0.1, true, 64),
            new RequestClass("report", 0.16, 3_200_000, 3, 0.5, 3_000_000, 2.5, 25_000_000, 4, 0.4, true, 420),
            new RequestClass("load", 0.06, 3_850_000, 2, 0.42, 4_000_000, 2.5, 20_000_000, 3, 0.6, false, 210));
    static final double WORK_LOG_STDDEV = 0.9; // standard deviation of the logarithm of work within a class
    static final long MAX_RETRY_AFTER_US = 1_000_000;
    static final int SOCKETS = 1024;
    static final List<String> ZONES = List.of("hall-a", "hall-b", "hall-c");

    private LabDeployment() {}

    /** Mean CPU time of a query (us). */
    static double meanCpu() {
        return REQUEST_CLASSES.stream()
                .mapToDouble(requestClass -> requestClass.trafficShare * requestClass.workUs * requestClass.cpuFraction)
                .sum();
    }

    /** Draws the work of a query: lognormal around the mean of its class. */
    static long drawWork(RequestClass requestClass, SplittableRandom random) {
        double normal = random.nextGaussian();
        return (long) Math.max(
                5_000,
                requestClass.workUs * Math.exp(WORK_LOG_STDDEV * normal - WORK_LOG_STDDEV * WORK_LOG_STDDEV / 2));
    }

    /** Latency within which a query earns its full priority weight (us). */
    static long latencyObjectiveUs(RequestClass requestClass, long work) {
        return requestClass.latencyObjectiveUs + (long) (requestClass.objectiveStretch * work / requestClass.threads);
    }

    /** Returns the platform configuration of a gateway. */
    static String config(
            String name,
            int index,
            int gateways,
            int port,
            InetSocketAddress feed,
            String knownEngines,
            long seed,
            EngineModel.Spec engine) {
        return config(name, index, gateways, port, feed, knownEngines, seed, engine, ZONES);
    }

    /** Returns the configuration of a gateway that may talk to its peers, at a site with these zones. */
    public static String configOfPeer(
            String name,
            int index,
            int gateways,
            int port,
            InetSocketAddress feed,
            String knownEngines,
            long seed,
            List<String> zones) {
        return config(name, index, gateways, port, feed, knownEngines, seed, EngineModel.Spec.standard(), zones)
                .replace("\"peers\":false", "\"peers\":true");
    }

    /** Returns the platform configuration of a gateway at a site with these zones. */
    static String config(
            String name,
            int index,
            int gateways,
            int port,
            InetSocketAddress feed,
            String knownEngines,
            long seed,
            EngineModel.Spec engine,
            List<String> zones) {
        StringBuilder classes = new StringBuilder();
        for (RequestClass requestClass : REQUEST_CLASSES) {
            classes.append(classes.length() == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{\"name\":\"%s\",\"aim_us\":%d,\"aim_stretch\":%s,\"hard_limit_us\":%d,\"effect\":\"%s\","
                                    + "\"value\":%s,\"late_worth\":%s}",
                            requestClass.name,
                            requestClass.latencyObjectiveUs,
                            requestClass.objectiveStretch,
                            requestClass.timeoutUs,
                            requestClass.repeatable ? "safe" : "unsafe",
                            requestClass.priorityWeight,
                            requestClass.lateWeightFactor));
        }
        return String.format(
                Locale.ROOT,
                """
                {"name":"%s","listen":"%s:%d","seed":"%016x",
                "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"feed":"%s:%d","known":%s,
                "settings":{"balancers":%d,"me":%d,"zone":%d,"discovery":"automatic","models":["std-8"],
                "failure_domains":["%s"],"classes":[%s],
                "report":{"fields":["utilization","backlog","x0"],"how":"inline"},
                "bounds":{"cancel":true,"may_probe":true,"peers":false,"retry_after":true,"second_copies":false,
                "max_attempts":5,"most_held":20000,"max_retry_after_us":%d,"connect_timeout_us":250000,
                "conn_idle_us":15000000},
                "rules":{"answer_slack_us":20000,"drain_grace_us":250000,"cold_from":%s,"cold_us":%d,
                "tip_multiple":%s,"fall_us":%d},"charges":{"probe":0.0081},
                "specifics":{"class_threads":[1,3,2],"class_load":[false,false,true],"class_waits":[false,false,false],
                "grants_count":true,"takes_priority":true,"most_grant":0.4,"overbooked":"wait","size_cores":[8],
                "kind_memory_mb":[16384.0],"progress_us":500000}}}
                """,
                name,
                Loopback.HOST,
                port,
                seed,
                SOCKETS,
                Loopback.HOST,
                feed.getPort(),
                knownEngines,
                gateways,
                index,
                index % zones.size(),
                String.join("\",\"", zones),
                classes,
                MAX_RETRY_AFTER_US,
                engine.initialCapacityShare(),
                Math.max(engine.warmUpUs(), 15_000_000),
                engine.crashMultiple(),
                engine.crashWindowUs());
    }
}
