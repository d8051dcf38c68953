package sandpaddle.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import sandpaddle.fleet.member.Member;
import sandpaddle.lab.FleetProcess;
import sandpaddle.lab.GatewayProcess;
import sandpaddle.lab.LabDeployment;
import sandpaddle.lab.StandInFeed;

/** A voter of the fleet: a whole gateway's process with its directory, without clients and engines. */
final class ControlMachine {
    /** The most heap of its process: a voter of some hundred gateways needs more than a gateway does. */
    static final int HEAP_MB = 512;

    private final Member member;
    private final Path operator;
    private final Path config;
    private final int port;
    private FleetProcess process;
    private boolean killed;

    ControlMachine(Member member, int index, ScalePlan plan, ScaleSite site, StandInFeed feed) throws IOException {
        this.member = member;
        port = GatewayProcess.freePort();
        operator = site.controlFile(member);
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
                        site.zones()));
    }

    String name() {
        return member.name();
    }

    /** Founds its directory and starts its process. */
    void start(ScalePlan plan) throws IOException {
        FleetProcess.format(plan.jar(), operator, member.name());
        process = FleetProcess.start(plan.jar(), plan.folder(), member.name(), port, config, operator, HEAP_MB);
    }

    FleetProcess process() {
        return process;
    }

    /** Whether its process has ended without having been killed by the run. */
    boolean hasFailed() {
        return !killed && process != null && !process.isAlive();
    }

    /** Kills its process, as if its machine lost power. */
    void kill() {
        killed = true;
        process.kill();
    }

    /** Kills it with the run that is broken off. */
    void abandon() {
        if (process != null) {
            process.kill();
        }
    }
}
