package sandpaddle.fleet.limit.day;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.allocator.AllocatorOutput;
import sandpaddle.fleet.limit.allocator.TargetPolicy;
import sandpaddle.fleet.limit.table.LimitCommand;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.QuotaGrant;

/** A whole fleet in virtual time with links that lose, delay, repeat and reorder; everything drawn from one seed. */
final class Fleet {
    static final String LIMIT = "whole";
    static final long STEP_US = 100_000;

    private record Message(long at, long number, int voter, int gateway, Heartbeat beat, QuotaGrant grant) {}

    final LimitSettings settings;
    final Random random;
    final Engines engines = new Engines();
    final List<Gateway> gateways = new ArrayList<>();
    final Voters voters;
    final Set<List<Integer>> cut = new HashSet<>(); // voter, gateway, 0 for heartbeats and 1 for grants
    private final PriorityQueue<Message> links =
            new PriorityQueue<>(Comparator.comparingLong(Message::at).thenComparing(Message::number));
    private long messages;
    private long epoch;
    long now;
    long delay = 60_000;
    double loss;
    double repeat;

    Fleet(long seed, int size, long amount, LimitSettings settings, double drift, TargetPolicy targets) {
        this.settings = settings;
        random = new Random(seed);
        voters = new Voters(settings, targets, random, drift);
        limit(amount);
        for (int i = 0; i < size; i++) {
            double rate = 1 + drift * (2 * random.nextDouble() - 1);
            Gateway gateway = new Gateway("g" + i, settings, engines, random, rate);
            gateways.add(gateway);
            voters.agree(new LimitCommand.Join(gateway.name, "h" + i % 2));
            gateway.start(now);
        }
    }

    /** Sets the limit's amount; whether it was taken. */
    boolean limit(long amount) {
        return voters.agree(new LimitCommand.SetLimits(
                        ++epoch, List.of(new LimitSpec(LIMIT, LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, amount, 0))))
                .isAccepted();
    }

    private void send(int voter, int gateway, Heartbeat heartbeat, QuotaGrant grant) {
        int copies = random.nextDouble() < repeat ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean lost =
                    random.nextDouble() < loss || cut.contains(List.of(voter, gateway, heartbeat == null ? 1 : 0));
            if (!lost) {
                links.add(new Message(
                        now + 1 + random.nextLong(delay * (i + 1)), messages++, voter, gateway, heartbeat, grant));
            }
        }
    }

    private void deliver(Message m) {
        Gateway gateway = gateways.get(m.gateway);
        if (m.beat != null) {
            Voters.Voter voter = voters.voters.get(m.voter);
            voter.allocator.receiveHeartbeat(voter.clock(now), gateway.name, m.beat);
        } else {
            gateway.receiveGrant(now, m.grant);
        }
    }

    /** One step of time for all. */
    void step() {
        now += STEP_US;
        engines.tick(now);
        List<Message> later = new ArrayList<>();
        while (!links.isEmpty() && links.peek().at <= now) {
            Message m = links.poll();
            if (m.grant != null && gateways.get(m.gateway).stopped) {
                later.add(m); // waits in the socket
            } else {
                deliver(m);
            }
        }
        links.addAll(later);
        for (Map.Entry<Integer, AllocatorOutput> turn : voters.turn(now).entrySet()) {
            for (QuotaGrant grant : turn.getValue().grants()) {
                send(turn.getKey(), Integer.parseInt(grant.member().substring(1)), null, grant);
            }
        }
        for (int i = 0; i < gateways.size(); i++) {
            Gateway gateway = gateways.get(i);
            if (gateway.holder == null || gateway.stopped) {
                continue;
            }
            Heartbeat heartbeat = gateway.turn(now, LIMIT);
            if (heartbeat != null) {
                for (int v = 0; v < voters.voters.size(); v++) {
                    send(v, i, heartbeat, null);
                }
            }
        }
    }

    /** So many steps for so long. */
    void run(long time) {
        for (long end = now + time; now < end; ) {
            step();
        }
    }
}
