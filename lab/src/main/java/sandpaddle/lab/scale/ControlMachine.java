package sandpaddle.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import sandpaddle.fleet.member.Member;
import sandpaddle.lab.FleetProcess;
import sandpaddle.lab.GatewayProcess;
import sandpaddle.lab.LabDeployment;
import sandpaddle.lab.StandInFeed;

/** A control machine: a complete gateway process with a voter directory, without clients and engines. */
final class ControlMachine {
    /** Maximum heap of the process. A voter that serves several hundred gateways needs more than a plain gateway. */
    static final int HEAP_MB = 512;

    private final Member member;
    private final Path operator;
    private final Path config;
    private final int port;
    private FleetProcess process;
    private boolean killed;

    ControlMachine(Member member, int index, ScalePlan plan, ScaleFleet fleet, StandInFeed feed) throws IOException {
        this.member = member;
        port = GatewayProcess.freePort();
        operator = fleet.controlFile(member);
        config = Files.writeString(
                plan.folder().resolve(member.name() + ".json"),
                LabDeployment.configOfPeer(
                        member.name(),
                        index,
                        plan.size().gateways() + plan.size().controlMachines(),
                        port,
                        feed.address(),
                        feed.snapshotJson(),
                        plan.seed() + index,
                        fleet.zones()));
    }

    String name() {
        return member.name();
    }

    /** Formats the voter directory and starts the process. */
    void start(ScalePlan plan) throws IOException {
        FleetProcess.format(plan.jar(), operator, member.name());
        process = FleetProcess.start(plan.jar(), plan.folder(), member.name(), port, config, operator, HEAP_MB);
    }

    FleetProcess process() {
        return process;
    }

    /** Whether the process ended without being killed by the run. */
    boolean hasFailed() {
        return !killed && process != null && !process.isAlive();
    }

    /** Kills the process without a shutdown, as in a power failure of its machine. */
    void kill() {
        killed = true;
        process.kill();
    }

    /** Kills the process when the run ends or is aborted. */
    void abort() {
        if (process != null) {
            process.kill();
        }
    }
}
