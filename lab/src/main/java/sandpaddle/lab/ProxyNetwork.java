package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import sandpaddle.eventloop.EventLoop;

/** All links of a fleet, each with a fault-injecting proxy: gateway to gateway, gateway to engine, gateway to feed. */
final class ProxyNetwork {
    private record Endpoints(String from, String to) {}

    private final EventLoop loop;
    private final Events events;
    private final SplittableRandom random;
    private final Map<Endpoints, FaultInjectingProxy> proxies = new LinkedHashMap<>();

    ProxyNetwork(EventLoop loop, Events events, SplittableRandom random) {
        this.loop = loop;
        this.events = events;
        this.random = random;
    }

    /** Returns the address at which {@code from} reaches {@code to}, and creates the proxy if needed. */
    InetSocketAddress link(String from, String to, InetSocketAddress target, boolean framed) throws IOException {
        FaultInjectingProxy proxy = proxies.get(new Endpoints(from, to));
        if (proxy == null) {
            proxy = new FaultInjectingProxy(loop, target, random.split(), framed);
            proxies.put(new Endpoints(from, to), proxy);
        }
        return proxy.address();
    }

    /** Removes the proxies to an engine that is gone. */
    void removeTarget(String to) {
        proxies.entrySet().removeIf(e -> {
            if (e.getKey().to.equals(to)) {
                e.getValue().close();
                return true;
            }
            return false;
        });
    }

    /**
     * Changes the faults of each link between two parties, whichever end connected, in the direction from {@code
     * source} to {@code destination}.
     */
    void configureDirection(String source, String destination, Consumer<FaultInjectingProxy.Direction> change) {
        FaultInjectingProxy outbound = proxies.get(new Endpoints(source, destination));
        if (outbound != null) {
            change.accept(outbound.toTarget);
        }
        FaultInjectingProxy inbound = proxies.get(new Endpoints(destination, source));
        if (inbound != null) {
            change.accept(inbound.fromTarget);
        }
    }

    /** Drops everything from {@code source} to {@code destination}. */
    void cut(long timestampUs, String source, String destination) {
        events.add(timestampUs, "relay", "cut", "gateway", source, "outcome", destination);
        configureDirection(source, destination, direction -> direction.cut = true);
    }

    /**
     * Makes the open connections between two parties half-open: the ends of {@code destination} are closed, and those
     * of {@code source} are not told.
     */
    void makeHalfOpen(long timestampUs, String source, String destination) {
        events.add(timestampUs, "relay", "cut", "gateway", source, "outcome", destination);
        FaultInjectingProxy outbound = proxies.get(new Endpoints(source, destination));
        if (outbound != null) {
            outbound.makeHalfOpen(true);
        }
        FaultInjectingProxy inbound = proxies.get(new Endpoints(destination, source));
        if (inbound != null) {
            inbound.makeHalfOpen(false);
        }
    }

    /** Removes all faults between two parties. */
    void heal(long timestampUs, String source, String destination) {
        events.add(timestampUs, "relay", "heal", "gateway", source, "outcome", destination);
        for (Endpoints e : new Endpoints[] {new Endpoints(source, destination), new Endpoints(destination, source)}) {
            FaultInjectingProxy proxy = proxies.get(e);
            if (proxy != null) {
                proxy.heal();
            }
        }
    }

    /** Bytes between gateways so far. */
    long frameBytes() {
        return proxies.values().stream()
                .mapToLong(FaultInjectingProxy::frameBytes)
                .sum();
    }

    void close() {
        proxies.values().forEach(FaultInjectingProxy::close);
    }
}
