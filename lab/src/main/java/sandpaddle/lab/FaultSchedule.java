package sandpaddle.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Schedules the faults of a scenario: each lasts for a while and is then healed. */
final class FaultSchedule {
    /** A step that may fail on a file or a process. */
    interface Step {
        void run() throws IOException;
    }

    // gateways observe the demand for at least this long before the outage
    private static final Duration MIN_OBSERVATION = Duration.ofSeconds(4);

    static final int POOL_CONNECTIONS = 16; // for each engine
    private static final int REDUCED_POOL_CONNECTIONS = 10;

    private final FleetExperiment fleet;
    private final FleetPlan.Times times;
    private final LinkFaults links;

    FaultSchedule(FleetExperiment fleet) {
        this.fleet = fleet;
        links = new LinkFaults(fleet);
        times = fleet.plan.times();
    }

    /** Schedules all faults; returns the duration of the scenario. */
    Duration schedule() throws IOException {
        FleetPlan.Scenario scenario = fleet.plan.scenario();
        Duration last = times.fault();
        if (scenario == FleetPlan.Scenario.DRAWN) {
            List<FleetPlan.Scenario> candidates = new ArrayList<>(List.of(FleetPlan.Scenario.values()));
            candidates.removeAll(List.of(
                    FleetPlan.Scenario.DRAWN,
                    FleetPlan.Scenario.CALM,
                    FleetPlan.Scenario.SEVERAL,
                    FleetPlan.Scenario.POOL,
                    FleetPlan.Scenario.OUTAGE));
            int count = fleet.plan.brief() ? 3 : 5;
            for (int i = 0; i < count; i++) {
                FleetPlan.Scenario next = candidates.remove(fleet.random.nextInt(candidates.size()));
                Duration at = times.fault().multipliedBy(i).dividedBy(2);
                scheduleFault(next, at, gatewayAt(1 + i % Math.max(1, fleet.plan.gateways() - 1)));
                last = at.plus(times.fault());
            }
        } else if (scenario == FleetPlan.Scenario.SEVERAL) {
            scheduleFault(FleetPlan.Scenario.NOISE, Duration.ZERO, gatewayAt(0));
            scheduleFault(FleetPlan.Scenario.CUT, Duration.ofSeconds(1), gatewayAt(fleet.plan.gateways() - 1));
            scheduleFault(FleetPlan.Scenario.KILL, Duration.ofSeconds(6), gatewayAt(0));
            last = times.fault().plusSeconds(6);
        } else if (scenario == FleetPlan.Scenario.OUTAGE) {
            last = scheduleOutage(fleet.outage);
        } else {
            scheduleFault(scenario, Duration.ofSeconds(2), gatewayAt(fleet.plan.gateways() - 1));
            last = times.fault().plusSeconds(2);
        }
        return last.plus(times.after());
    }

    private GatewayInstance gatewayAt(int index) {
        return List.copyOf(fleet.gateways.values()).get(index);
    }

    private void runAt(Duration when, Step step) {
        fleet.loop.scheduleAfter(when, () -> fleet.runStep(step));
    }

    private void scheduleFault(FleetPlan.Scenario scenario, Duration start, GatewayInstance target) {
        Duration end = start.plus(times.fault());
        String name = target.name();
        switch (scenario) {
            case UNEVEN -> {
                runAt(start, () -> {
                    fleet.loadGenerator.loadBalancer().preferGateway(name, 0.8);
                    fleet.recordEvent("uneven", "gateway", name);
                });
                runAt(end, () -> {
                    fleet.loadGenerator.loadBalancer().preferGateway("", 0);
                    fleet.recordEvent("even");
                });
            }
            case KILL -> {
                runAt(start, () -> fleet.kill(target));
                runAt(start.plusSeconds(4), () -> fleet.start(target));
            }
            case STOP -> {
                runAt(start, () -> {
                    target.process.suspend();
                    fleet.recordEvent("stopped", "gateway", name);
                });
                runAt(start.plusMillis(FleetFiles.LEASE_MS + 3500), () -> {
                    target.process.resume();
                    fleet.recordEvent("continued", "gateway", name);
                });
            }
            case DISK_FULL -> {
                runAt(start, () -> {
                    gatewayAt(0).process.limitFileSize(4096);
                    fleet.recordEvent("disk-full", "gateway", gatewayAt(0).name());
                });
                runAt(end, () -> {
                    gatewayAt(0).process.limitFileSize(-1);
                    fleet.recordEvent("disk-room", "gateway", gatewayAt(0).name());
                });
            }
            case DISK_LOST -> scheduleDiskLoss(start);
            case MEMBERS -> scheduleMembershipChange(start, target);
            case LOWER -> scheduleLimitReduction(start, end, target);
            case POOL -> schedulePoolReduction(start, end, name);
            case SICK -> {
                runAt(start, () -> fleet.engines.get(0).setFailing(true));
                runAt(end, () -> fleet.engines.get(0).setFailing(false));
            }
            default -> scheduleLinkFault(scenario, start, end, name);
        }
    }

    /** Schedules a fault on the links of one gateway, or of all. */
    private void scheduleLinkFault(FleetPlan.Scenario scenario, Duration start, Duration end, String name) {
        switch (scenario) {
            case CUT -> scheduleFaultWindow(start, end, () -> links.isolate(name), () -> links.rejoin(name));
            case ONE_WAY -> scheduleFaultWindow(start, end, () -> links.blockOutbound(name), () -> links.rejoin(name));
            case HALF_OPEN -> {
                for (Duration t = start; t.compareTo(end) < 0; t = t.plusSeconds(2)) {
                    runAt(t, () -> links.makeHalfOpen(name));
                }
                runAt(end, () -> links.rejoin(name));
            }
            case THROTTLE ->
                scheduleFaultWindow(start, end, () -> links.throttle(name, true), () -> links.throttle(name, false));
            case FEED ->
                scheduleFaultWindow(
                        start, end, () -> links.setFeedCut(name, true), () -> links.setFeedCut(name, false));
            case ENGINE_LINK ->
                scheduleFaultWindow(
                        start, end, () -> links.setEnginesCut(name, true), () -> links.setEnginesCut(name, false));
            case NOISE ->
                scheduleFaultWindow(
                        start, end, () -> links.injectFrameFaults(true), () -> links.injectFrameFaults(false));
            default -> {} // no link fault
        }
    }

    /** Cuts the zone's uplink at the scheduled time; returns the time until it is restored. */
    private Duration scheduleOutage(OutagePlan plan) throws IOException {
        Duration wait = Duration.between(fleet.loop.now(), plan.from());
        if (wait.compareTo(MIN_OBSERVATION) < 0) {
            throw new IOException(
                    "the machine is too slow: gateways ready " + wait.toMillis() + " ms before the scheduled outage");
        }
        scheduleFaultWindow(
                wait,
                wait.plus(plan.length()),
                () -> links.setZoneCut(OutagePlan.ZONE, true),
                () -> links.setZoneCut(OutagePlan.ZONE, false));
        return wait.plus(plan.length());
    }

    private void scheduleFaultWindow(Duration start, Duration end, Step begins, Step ends) {
        runAt(start, begins);
        runAt(end, ends);
    }

    /** Restarts a voter with an empty directory, and later another with a copy from before its last votes. */
    private void scheduleDiskLoss(Duration start) {
        GatewayInstance lost = gatewayAt(0);
        GatewayInstance outdated = gatewayAt(1);
        Path copy = fleet.plan.folder().resolve("old-copy");
        runAt(start, () -> VoterDirectories.copy(fleet.files.directory(outdated.name()), copy));
        runAt(start.plusMillis(500), () -> {
            fleet.kill(lost);
            VoterDirectories.clear(fleet.files.directory(lost.name()));
            fleet.recordEvent("disk-lost", "gateway", lost.name());
        });
        runAt(start.plusSeconds(2), () -> fleet.start(lost));
        runAt(start.plus(times.fault().dividedBy(2)).plusSeconds(2), () -> {
            fleet.kill(outdated);
            VoterDirectories.copy(copy, fleet.files.directory(outdated.name()));
            fleet.recordEvent("disk-old", "gateway", outdated.name());
        });
        runAt(start.plus(times.fault().dividedBy(2)).plusSeconds(3), () -> fleet.start(outdated));
    }

    private void scheduleMembershipChange(Duration start, GatewayInstance leaving) {
        runAt(start, () -> {
            GatewayInstance joining = fleet.addGateway();
            fleet.files.publishVersion(fleet.files.limits());
            fleet.rewriteFiles();
            fleet.start(joining);
            fleet.recordEvent("joins", "gateway", joining.name());
            registerWhenListening(joining, 0);
        });
        runAt(start.plus(times.fault().dividedBy(2)), () -> {
            fleet.recordEvent("leaves", "gateway", leaving.name());
            fleet.kill(leaving);
            fleet.files.removeMember(leaving.name());
            fleet.files.publishVersion(fleet.files.limits());
            fleet.rewriteFiles();
        });
    }

    /** Makes a new gateway reachable for clients once it accepts connections. */
    private void registerWhenListening(GatewayInstance gateway, int delays) {
        runAt(Duration.ofMillis(500), () -> {
            if (delays < 2) {
                registerWhenListening(gateway, delays + 1);
            } else {
                gateway.process.awaitUp();
                fleet.registerWithLoadBalancer(gateway);
            }
        });
    }

    private void schedulePoolReduction(Duration start, Duration end, String target) {
        runAt(start, () -> links.isolate(target));
        runAt(
                start.plusSeconds(1),
                () -> schedulePoolReduction(
                        REDUCED_POOL_CONNECTIONS, 3, FleetFiles.loweredLimitEffectiveAfterUs() + 3_000_000));
        runAt(end, () -> {
            links.rejoin(target);
            schedulePoolReduction(POOL_CONNECTIONS, 1, 0);
        });
    }

    private void schedulePoolReduction(int each, int weight, long effectiveAfterUs) throws IOException {
        fleet.files.publishVersion(fleet.files.limits());
        fleet.files.pool(each, weight);
        fleet.rewriteFiles();
        fleet.recordEvent("pool", "each", each, "holds", fleet.nowUs() + effectiveAfterUs);
    }

    private void scheduleLimitReduction(Duration start, Duration end, GatewayInstance target) {
        List<FleetLimit> before = fleet.files.limits();
        runAt(start, () -> links.isolate(target.name()));
        runAt(start.plusSeconds(1), () -> {
            fleet.files.publishVersion(before.stream()
                    .map(l -> l.running() > 0 ? l.withRunning(l.running() * 2 / 3) : l)
                    .toList());
            fleet.rewriteFiles();
            fleet.recordLimits(FleetFiles.loweredLimitEffectiveAfterUs() + 3_000_000);
        });
        runAt(end, () -> {
            links.rejoin(target.name());
            fleet.files.publishVersion(before);
            fleet.rewriteFiles();
            fleet.recordLimits(0);
        });
    }
}
