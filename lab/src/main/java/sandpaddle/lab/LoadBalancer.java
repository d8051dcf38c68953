package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sandpaddle.eventloop.EventLoop;

/** Load balancer stand-in: spreads the clients of a zone over its gateways, and keeps idle sessions. */
final class LoadBalancer {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);
    private static final int MAX_SESSIONS = LabDeployment.SOCKETS / 3;

    private record IdleSession(ClientSession session, Instant since) {}

    /** One gateway as seen by its clients. */
    static final class Gateway {
        final String name;
        private final InetSocketAddress address;
        private final int zone;
        private final ArrayDeque<IdleSession> idle = new ArrayDeque<>();
        private int open;
        private Instant unavailableUntil = Instant.EPOCH;

        private Gateway(String name, InetSocketAddress address, int zone) {
            this.name = name;
            this.zone = zone;
            this.address = address;
        }

        /** Takes an idle session; null if there is none. */
        ClientSession pollIdleSession() {
            while (!idle.isEmpty()) {
                ClientSession s = idle.pollLast().session;
                if (!s.isClosed()) {
                    return s;
                }
                open--;
            }
            return null;
        }

        /** Opens a session; null if the limit is reached. */
        ClientSession openSession(EventLoop loop) throws IOException {
            if (open >= MAX_SESSIONS) {
                return null;
            }
            ClientSession s = new ClientSession(loop, address);
            open++;
            return s;
        }

        void release(ClientSession session, boolean keep, Instant now) {
            if (keep && !session.isClosed()) {
                idle.add(new IdleSession(session, now));
            } else {
                session.close();
                open--;
            }
        }

        /** Records that a session was closed by the gateway. */
        void sessionClosed() {
            open--;
        }

        /** Excludes the gateway until then, unless no other is available. */
        void markUnavailable(Instant until) {
            unavailableUntil = until;
        }

        private void sweep(Instant idleBefore) {
            while (!idle.isEmpty()
                    && (idle.peek().session.isClosed() || idle.peek().since.isBefore(idleBefore))) {
                idle.poll().session.close();
                open--;
            }
        }
    }

    private final EventLoop loop;
    private final SplittableRandom random;
    private final List<Gateway> gateways = new ArrayList<>();
    private String preferredGateway = "";
    private double preferredShare;
    private int isolatedZone = -1;

    LoadBalancer(EventLoop loop, SplittableRandom random) {
        this.loop = loop;
        this.random = random;
        sweep();
    }

    private void sweep() {
        gateways.forEach(g -> g.sweep(loop.now().minus(IDLE_TIMEOUT)));
        loop.scheduleAfter(SWEEP_INTERVAL, this::sweep);
    }

    void addGateway(String name, InetSocketAddress address, int zone) {
        gateways.add(new Gateway(name, address, zone));
    }

    /**
     * Sends a share of all attempts to one gateway, regardless of the client's zone.
     *
     * @param share 0 for none
     */
    void preferGateway(String name, double share) {
        preferredGateway = name;
        preferredShare = share;
    }

    /**
     * Isolates a zone: its clients reach only its own gateways, and no other clients reach those.
     *
     * @param zone -1 for none
     */
    void isolateZone(int zone) {
        isolatedZone = zone;
    }

    /** Chooses a gateway for a client; if none in its zone is available, any available gateway. */
    Gateway choose(int zone) {
        if (preferredShare > 0 && random.nextDouble() < preferredShare) {
            for (Gateway g : gateways) {
                if (g.name.equals(preferredGateway) && g.unavailableUntil.isBefore(loop.now())) {
                    return g;
                }
            }
        }
        List<Gateway> reachable = isolatedZone < 0
                ? gateways
                : gateways.stream()
                        .filter(g -> (g.zone == isolatedZone) == (zone == isolatedZone))
                        .toList();
        List<Gateway> available = reachable.stream()
                .filter(g -> g.unavailableUntil.isBefore(loop.now()))
                .toList();
        List<Gateway> sameZone = available.stream().filter(g -> g.zone == zone).toList();
        List<Gateway> candidates = !sameZone.isEmpty() ? sameZone : available.isEmpty() ? reachable : available;
        return candidates.get(random.nextInt(candidates.size()));
    }
}
