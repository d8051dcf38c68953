package sandpaddle.app;

import java.io.IOException;
import org.tinylog.Logger;
import sandpaddle.config.GatewayConfig;
import sandpaddle.config.OperatorFile;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.fleet.node.FleetNode;

/** Starts the fleet node of a gateway if it is enabled, and applies changed settings while the gateway serves. */
final class FleetStart {
    private FleetStart() {}

    /**
     * Starts the fleet node.
     *
     * @return null if the operator's file does not enable it, or the platform does not permit gateways to communicate
     * @throws IOException if the fleet's settings cannot be used or its node cannot be started
     */
    static FleetNode start(OperatorFile operator, GatewayConfig config, EventLoop loop) throws IOException {
        if (operator.fleet().isEmpty() || !operator.fleet().get().enabled()) {
            return null;
        }
        if (!config.peersAllowed()) {
            Logger.warn("fleet: stays off: 'settings.bounds.peers' forbids that gateways talk");
            return null;
        }
        try {
            return new FleetNode(
                    operator.fleet().get(),
                    config.name(),
                    config.decisionSettings(),
                    config.names().requestClasses(),
                    config.names().zones(),
                    config.names().engineKinds(),
                    loop,
                    loop::wakeup,
                    config.seed());
        } catch (IllegalArgumentException e) {
            throw new IOException("fleet: " + e.getMessage(), e);
        }
    }

    /**
     * Applies the section {@code fleet.agreed} of a changed operator's file; other changes take effect at the next
     * start.
     *
     * @param fleet null if the fleet is off
     */
    static void reload(FleetNode fleet, OperatorFile current, OperatorFile next) {
        if (fleet != null && next.fleet().isPresent()) {
            fleet.reload(next.fleet().get());
        }
        boolean isUnchanged = fleet == null
                ? next.fleet().equals(current.fleet())
                : next.fleet().isPresent()
                        && next.fleet()
                                .get()
                                .onlyAgreedDiffersFrom(current.fleet().orElseThrow());
        if (!isUnchanged) {
            Logger.warn("operator's file: changes of 'fleet' outside 'agreed' take effect at the next start");
        }
    }
}
