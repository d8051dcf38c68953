package sandpaddle.lab;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/** Injects link faults, and records each with its target in the events. */
final class LinkFaults {
    private static final Duration THROTTLED_DELAY = Duration.ofSeconds(2);
    private static final long THROTTLED_BYTES_PER_S = 20_000;

    private final FleetExperiment fleet;

    LinkFaults(FleetExperiment fleet) {
        this.fleet = fleet;
    }

    private void forEachPeer(String target, Consumer<String> fault) {
        fleet.gateways.keySet().stream().filter(peer -> !peer.equals(target)).forEach(fault);
    }

    private void cutBothDirections(String from, String to) {
        fleet.proxies.cut(fleet.nowUs(), from, to);
        fleet.proxies.cut(fleet.nowUs(), to, from);
    }

    /** Cuts a gateway off from all other gateways. */
    void isolate(String target) {
        fleet.recordEvent("isolated", "gateway", target);
        forEachPeer(target, peer -> cutBothDirections(target, peer));
    }

    /** Drops everything that a gateway sends to its peers. */
    void blockOutbound(String target) {
        fleet.recordEvent("mute", "gateway", target);
        forEachPeer(target, peer -> fleet.proxies.cut(fleet.nowUs(), target, peer));
    }

    void rejoin(String target) {
        fleet.recordEvent("joined", "gateway", target);
        forEachPeer(target, peer -> fleet.proxies.heal(fleet.nowUs(), target, peer));
    }

    /** Closes the peers' ends of a gateway's connections without its own ends noticing. */
    void makeHalfOpen(String target) {
        fleet.recordEvent("half-open", "gateway", target);
        forEachPeer(target, peer -> fleet.proxies.makeHalfOpen(fleet.nowUs(), target, peer));
    }

    /** Delays, drops and duplicates frames between all gateways. */
    void injectFrameFaults(boolean enabled) {
        fleet.recordEvent(enabled ? "noise" : "quiet");
        List<String> names = List.copyOf(fleet.gateways.keySet());
        for (String from : names) {
            for (String to : names) {
                fleet.proxies.configureDirection(from, to, direction -> {
                    direction.delay = enabled ? Duration.ofMillis(20 + fleet.random.nextInt(400)) : Duration.ZERO;
                    direction.dropProbability = enabled ? 0.05 : 0;
                    direction.duplicateProbability = enabled ? 0.1 : 0;
                });
            }
        }
    }

    /** Reduces the bandwidth of a gateway's links and delays them by two seconds. */
    void throttle(String target, boolean enabled) {
        fleet.recordEvent(enabled ? "narrow" : "wide", "gateway", target);
        forEachPeer(target, peer -> {
            for (String[] ends : new String[][] {{target, peer}, {peer, target}}) {
                fleet.proxies.configureDirection(ends[0], ends[1], direction -> {
                    direction.delay = enabled ? THROTTLED_DELAY : Duration.ZERO;
                    direction.bytesPerSecond = enabled ? THROTTLED_BYTES_PER_S : 0;
                });
            }
        });
    }

    /** Cuts or restores the link of a gateway to the control feed. */
    void setFeedCut(String target, boolean cut) {
        fleet.recordEvent(cut ? "feed-cut" : "feed-back", "gateway", target);
        setCut(target, "feed", cut);
    }

    /** Cuts or restores the links of a gateway to all engines. */
    void setEnginesCut(String target, boolean cut) {
        fleet.recordEvent(cut ? "engines-cut" : "engines-back", "gateway", target);
        fleet.engines.forEach(engine -> setCut(target, engine.id(), cut));
    }

    private void setCut(String from, String to, boolean cut) {
        if (cut) {
            cutBothDirections(from, to);
        } else {
            fleet.proxies.heal(fleet.nowUs(), from, to);
        }
    }

    /** Cuts or restores the uplink of a zone: while cut, its gateways reach only each other. */
    void setZoneCut(String zone, boolean cut) {
        fleet.recordEvent(cut ? "hall-cut" : "hall-back", "hall", zone);
        for (GatewayInstance gateway : fleet.gateways.values()) {
            if (gateway.member.zone().equals(zone)) {
                fleet.gateways.values().stream()
                        .filter(other -> !other.member.zone().equals(zone))
                        .forEach(other -> setCut(gateway.name(), other.name(), cut));
                setCut(gateway.name(), "feed", cut);
                fleet.engines.forEach(engine -> setCut(gateway.name(), engine.id(), cut));
            }
        }
    }
}
