package sandpaddle.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.MonotonicTimeSource;

/**
 * Kills all engines and restarts them cold, with real gateways between stand-in engines and a load generator, on
 * loopback and in real time. The seed draws arrivals, work, client behavior and delays of the endpoint list; the timing
 * of the machine is not reproducible.
 */
final class RetryStormExperiment {
    /** Faults in addition to the outage. */
    enum Script {
        /** No outage: measures the overhead in normal operation. */
        CALM,
        /** All engines are killed and restarted at the same time. */
        OUTAGE,
        /** The engines are restarted one after the other. */
        STAGGERED,
        /** The engines are killed again soon after the restart. */
        SECOND,
        /** One gateway is killed during the outage and restarted after it. */
        GATEWAY,
        /** The endpoint list keeps the killed engines until they are restarted. */
        STALE
    }

    /** Duration of the phases. */
    record Times(Duration warmUp, Duration calm, Duration outage, Duration after) {
        static Times of(boolean brief, Duration outage) {
            Duration requested = outage != null ? outage : Duration.ofSeconds(brief ? 8 : 30);
            return brief
                    ? new Times(Duration.ofSeconds(4), Duration.ofSeconds(4), requested, Duration.ofSeconds(18))
                    : new Times(Duration.ofSeconds(15), Duration.ofSeconds(15), requested, Duration.ofSeconds(75));
        }
    }

    /**
     * Parameters of one run.
     *
     * @param operator the gateways' operator's file, or null
     */
    record Plan(
            long seed,
            Script script,
            Times times,
            Path operator,
            double load,
            int engines,
            int gateways,
            Path jar,
            Path folder) {}

    private static final Duration DRAIN_DURATION = Duration.ofSeconds(3);
    // slightly longer than the longest client timeout
    private static final Duration FINAL_REQUEST_TIMEOUT = Duration.ofSeconds(28);
    private static final double MAX_UTILIZATION = 0.85;

    private final Plan plan;
    private final Events events;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final EngineModel.Spec spec;
    private final ClientStatistics statistics = new ClientStatistics();
    private final StandInFeed feed;
    private final LoadGenerator loadGenerator;
    private final List<StandInEngine> engines = new ArrayList<>();
    private final List<GatewayProcess> gateways = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private long outageUs, restoredUs, measureFromUs, measureUntilUs;
    private long cpuMsAtStart, attemptsAtStart;
    private double cpuMsPerAttempt = Double.NaN;
    private int engineCount;
    private boolean generating = true;
    private boolean secondOutageStarted;

    RetryStormExperiment(Plan plan, Events events) throws IOException {
        this.plan = plan;
        this.events = events;
        loop = new EventLoop(MonotonicTimeSource.startingAt(Instant.now()));
        random = new SplittableRandom(plan.seed);
        EngineModel.Spec standard = EngineModel.Spec.standard();
        spec = new EngineModel.Spec(
                standard.cores(),
                standard.speed(),
                standard.maxRunning(),
                standard.saturationThreadsPerCore(),
                standard.contentionLoss(),
                0.3 + 0.12 * random.nextDouble(),
                (long) (8e6 + 7e6 * random.nextDouble()),
                standard.crashMultiple(),
                standard.crashWindowUs());
        feed = new StandInFeed(loop, events, statistics);
        loadGenerator =
                new LoadGenerator(loop, events, statistics, random.split(), LoadGenerator.ClientBehavior.draw(random));
    }

    private long nowUs() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, loop.now());
    }

    /** Runs the script to its end. */
    RetryStormResult run() throws IOException {
        try {
            for (int i = 0; i < plan.engines; i++) {
                publish(engine(0, 0), "Ready", 0);
            }
            for (int i = 0; i < plan.gateways; i++) {
                ports.add(GatewayProcess.freePort());
                gateways.add(startGateway(i));
            }
            for (GatewayProcess gateway : gateways) {
                gateway.awaitUp();
                int i = gateways.indexOf(gateway);
                loadGenerator.loadBalancer().addGateway("n" + i, gateway.address(), i % LabDeployment.ZONES.size());
            }
            scheduleScript();
            while (generating
                    || loadGenerator.open() > 0 && nowUs() < measureUntilUs + FINAL_REQUEST_TIMEOUT.toMillis() * 1000) {
                loop.runTurn(() -> {}, Duration.ofMillis(50));
            }
            for (int i = 0; i < gateways.size(); i++) {
                if (!gateways.get(i).isAlive()) {
                    throw new IOException("gateway n" + i + " exited during the run; see its log in " + plan.folder);
                }
            }
        } finally {
            gateways.forEach(GatewayProcess::end);
            engines.forEach(engine -> engine.kill("stopped"));
            feed.close();
        }
        return new RetryStormResult(
                plan, statistics, measureFromUs, outageUs, restoredUs, measureUntilUs, cpuMsPerAttempt);
    }

    private GatewayProcess startGateway(int index) throws IOException {
        String config = LabDeployment.config(
                "n" + index,
                index,
                plan.gateways,
                ports.get(index),
                feed.address(),
                feed.snapshotJson(),
                plan.seed * 31 + index + engineCount,
                spec);
        return GatewayProcess.start(plan.jar, plan.folder, "n" + index, ports.get(index), config, plan.operator, false);
    }

    private StandInEngine engine(int port, long startedUs) throws IOException {
        String id = "s-" + engineCount++;
        StandInEngine[] started = new StandInEngine[1];
        started[0] =
                new StandInEngine(loop, events, statistics, id, port, spec, startedUs, () -> engineCrashed(started[0]));
        engines.add(started[0]);
        return started[0];
    }

    /** Replaces a crashed engine by a new one after a delay. */
    private void engineCrashed(StandInEngine engine) {
        engines.remove(engine);
        publishLater(engine, "Gone", 0);
        loop.scheduleAfter(Duration.ofSeconds(8), () -> restart(engine.address().getPort()));
    }

    private void restart(int port) {
        try {
            StandInEngine engine = engine(port, nowUs());
            loop.scheduleAfter(randomDelay(330, 2400), () -> publish(engine, "Ready", nowUs()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Duration randomDelay(int min, int max) {
        return Duration.ofMillis(min + random.nextInt(max - min));
    }

    private void publish(StandInEngine engine, String health, long bornUs) {
        int n = Integer.parseInt(engine.id().substring(2));
        feed.publish(
                nowUs(),
                engine.id(),
                engine.address(),
                LabDeployment.ZONES.get(n % LabDeployment.ZONES.size()),
                health,
                bornUs);
    }

    /** Publishes the end of an engine after a delay of some seconds. */
    private void publishLater(StandInEngine engine, String health, long more) {
        loop.scheduleAfter(randomDelay(1500, 4800).plusMillis(more), () -> publish(engine, health, 0));
    }

    private void scheduleScript() {
        long start = nowUs();
        double perSecond = plan.load * plan.engines * spec.cores() * MAX_UTILIZATION * 1e6 / LabDeployment.meanCpu();
        generateRequests(perSecond, random.split());
        Times times = plan.times;
        measureFromUs = start + times.warmUp.toMillis() * 1000;
        loop.scheduleAfter(times.warmUp, () -> {
            cpuMsAtStart = cpuMs();
            attemptsAtStart = statistics.attempts;
            drainOne();
        });
        loop.scheduleAfter(times.warmUp.plus(times.calm), () -> {
            cpuMsPerAttempt = (cpuMs() - cpuMsAtStart) / (double) Math.max(1, statistics.attempts - attemptsAtStart);
            if (plan.script != Script.CALM) {
                outage(times.outage);
            }
        });
        measureUntilUs = start
                + times.warmUp
                                .plus(times.calm)
                                .plus(times.outage)
                                .plus(times.after)
                                .toMillis()
                        * 1000;
        loop.scheduleAfter(
                times.warmUp.plus(times.calm).plus(times.outage).plus(times.after), () -> generating = false);
    }

    private long cpuMs() {
        return gateways.stream().mapToLong(GatewayProcess::cpuMs).sum();
    }

    /** Drains an engine in normal operation, to check the drain rule, and replaces it by a warm one. */
    private void drainOne() {
        StandInEngine engine = engines.remove(0);
        try {
            publish(engine(0, 0), "Ready", 0);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        publish(engine, "Terminating", 0);
        loop.scheduleAfter(DRAIN_DURATION, () -> {
            engine.kill("stopped");
            publish(engine, "Gone", 0);
        });
    }

    private void outage(Duration length) {
        outageUs = nowUs();
        events.add(nowUs(), "script", "outage");
        List<Integer> enginePorts =
                engines.stream().map(engine -> engine.address().getPort()).toList();
        boolean stale = plan.script == Script.STALE;
        engines.forEach(engine -> {
            engine.kill("killed");
            publishLater(engine, "Gone", stale ? length.toMillis() : 0);
        });
        engines.clear();
        if (plan.script == Script.GATEWAY) {
            loop.scheduleAfter(length.dividedBy(2), () -> {
                events.add(nowUs(), "script", "gateway-killed", "outcome", "n0");
                gateways.get(0).kill();
            });
            loop.scheduleAfter(length.plusSeconds(5), () -> {
                try {
                    gateways.set(0, startGateway(0));
                    events.add(nowUs(), "script", "gateway-started", "outcome", "n0");
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
        loop.scheduleAfter(length, () -> restoreEngines(enginePorts));
    }

    private void restoreEngines(List<Integer> enginePorts) {
        restoredUs = nowUs();
        events.add(nowUs(), "script", "return");
        for (int i = 0; i < enginePorts.size(); i++) {
            int port = enginePorts.get(i);
            Duration wait = plan.script == Script.STAGGERED ? Duration.ofSeconds(2L * i) : Duration.ZERO;
            loop.scheduleAfter(wait, () -> restart(port));
        }
        if (plan.script == Script.SECOND && !secondOutageStarted) {
            loop.scheduleAfter(Duration.ofSeconds(7), () -> {
                secondOutageStarted = true;
                outage(Duration.ofSeconds(6));
            });
        }
    }

    /** Generates Poisson arrivals, drawn independently of the outcome of other requests. */
    private void generateRequests(double perSecond, SplittableRandom draw) {
        if (!generating) {
            return;
        }
        double x = draw.nextDouble();
        LabDeployment.RequestClass kind = LabDeployment.REQUEST_CLASSES.get(0);
        for (LabDeployment.RequestClass k : LabDeployment.REQUEST_CLASSES) {
            kind = k;
            x -= k.trafficShare();
            if (x < 0) {
                break;
            }
        }
        loadGenerator.sendRequest(kind, LabDeployment.drawWork(kind, draw), nowUs() >= measureFromUs);
        long gap = (long) (-Math.log(1 - draw.nextDouble()) / perSecond * 1e9);
        loop.scheduleAfter(Duration.ofNanos(gap), () -> generateRequests(perSecond, draw));
    }
}
