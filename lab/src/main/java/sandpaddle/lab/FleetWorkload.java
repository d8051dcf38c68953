package sandpaddle.lab;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sandpaddle.eventloop.EventLoop;

/**
 * Workload of a fleet's clients: new statements in all zones, or in one zone dashboards that repeat the same
 * statements.
 */
final class FleetWorkload {
    static final List<String> TENANTS = List.of("acme", "borea", "corvo");
    private static final int STATEMENTS_PER_TENANT = 60;
    private static final double REPORT_SHARE = 0.2;
    private static final double LOAD_SHARE = 0.05;
    // work of a dashboard statement, as a fraction of the mean of its class
    private static final int DASHBOARD_WORK_DIVISOR = 4;

    private final EventLoop loop;
    private final LoadGenerator loadGenerator;
    private final SplittableRandom random;
    // by tenant, most frequent first
    private final List<List<LoadGenerator.RequestSpec>> dashboards = new ArrayList<>();
    private boolean generating = true;

    FleetWorkload(EventLoop loop, LoadGenerator loadGenerator, SplittableRandom random) {
        this.loop = loop;
        this.loadGenerator = loadGenerator;
        this.random = random;
        loadGenerator.tenants(TENANTS);
    }

    void stop() {
        generating = false;
    }

    /**
     * Starts new statements at a rate.
     *
     * @param zones number of zones, from the first, whose clients send them
     */
    void startNewStatements(double perSecond, int zones) {
        generate(perSecond, random.split(), draw -> {
            LabDeployment.RequestClass requestClass = requestClass(draw.nextDouble());
            loadGenerator.send(
                    new LoadGenerator.RequestSpec(
                            requestClass,
                            LabDeployment.drawWork(requestClass, draw),
                            null,
                            tenant(draw),
                            draw.nextInt(zones)),
                    true);
        });
    }

    /** Starts dashboards of one zone, which repeat statements with Zipf-distributed frequency, and occasional loads. */
    void startDashboards(double perSecond, int zone) {
        SplittableRandom statementRandom = random.split();
        for (String tenant : TENANTS) {
            List<LoadGenerator.RequestSpec> statements = new ArrayList<>();
            for (int i = 0; i < STATEMENTS_PER_TENANT; i++) {
                LabDeployment.RequestClass requestClass =
                        LabDeployment.REQUEST_CLASSES.get(statementRandom.nextDouble() < REPORT_SHARE ? 1 : 0);
                // without the tenant's name: tenants send the same text, so a result of another tenant would be
                // detected
                statements.add(new LoadGenerator.RequestSpec(
                        requestClass,
                        Math.min(
                                1_500_000,
                                LabDeployment.drawWork(requestClass, statementRandom) / DASHBOARD_WORK_DIVISOR),
                        "d" + i,
                        tenant,
                        zone));
            }
            dashboards.add(statements);
        }
        generate(perSecond, random.split(), draw -> {
            if (draw.nextDouble() < LOAD_SHARE) {
                LabDeployment.RequestClass load = LabDeployment.REQUEST_CLASSES.get(2);
                loadGenerator.send(
                        new LoadGenerator.RequestSpec(
                                load,
                                LabDeployment.drawWork(load, draw) / DASHBOARD_WORK_DIVISOR,
                                null,
                                tenant(draw),
                                zone),
                        true);
            } else {
                loadGenerator.send(dashboards.get(draw.nextInt(TENANTS.size())).get(zipf(draw)), true);
            }
        });
    }

    private static int zipf(SplittableRandom draw) {
        double sum = 0;
        for (int k = 1; k <= STATEMENTS_PER_TENANT; k++) {
            sum += 1.0 / k;
        }
        double p = draw.nextDouble() * sum;
        int k = 1;
        for (; k < STATEMENTS_PER_TENANT && (p -= 1.0 / k) > 0; ) {
            k++;
        }
        return k - 1;
    }

    private static String tenant(SplittableRandom draw) {
        return TENANTS.get(draw.nextInt(TENANTS.size()));
    }

    private static LabDeployment.RequestClass requestClass(double quantile) {
        for (LabDeployment.RequestClass k : LabDeployment.REQUEST_CLASSES) {
            quantile -= k.trafficShare();
            if (quantile < 0) {
                return k;
            }
        }
        return LabDeployment.REQUEST_CLASSES.get(LabDeployment.REQUEST_CLASSES.size() - 1);
    }

    private interface RequestSource {
        void send(SplittableRandom draw);
    }

    /** Sends requests as a Poisson process. */
    private void generate(double perSecond, SplittableRandom draw, RequestSource source) {
        if (!generating) {
            return;
        }
        source.send(draw);
        double wait = -Math.log(1 - draw.nextDouble()) / perSecond;
        loop.scheduleAfter(Duration.ofNanos((long) (wait * 1e9)), () -> generate(perSecond, draw, source));
    }
}
