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

/** A fleet in virtual time, with links that lose, delay, duplicate and reorder messages. Deterministic for a seed. */
final class SimulatedFleet {
    static final String LIMIT = "whole";
    static final long STEP_US = 100_000;

    private record Message(
            long deliverAtUs, long number, int voter, int gateway, Heartbeat heartbeat, QuotaGrant grant) {}

    final LimitSettings settings;
    final Random random;
    final SimulatedEngines engines = new SimulatedEngines();
    final List<SimulatedGateway> gateways = new ArrayList<>();
    final SimulatedVoters voters;
    final Set<List<Integer>> brokenLinks = new HashSet<>(); // voter, gateway, 0 for heartbeats or 1 for grants
    private final PriorityQueue<Message> messagesInFlight =
            new PriorityQueue<>(Comparator.comparingLong(Message::deliverAtUs).thenComparing(Message::number));
    private long messageCount;
    private long epoch;
    long nowUs;
    long maxDelayUs = 60_000;
    double lossRate;
    double duplicateRate;

    SimulatedFleet(long seed, int size, long amount, LimitSettings settings, double drift, TargetPolicy targets) {
        this.settings = settings;
        random = new Random(seed);
        voters = new SimulatedVoters(settings, targets, random, drift);
        setLimit(amount);
        for (int i = 0; i < size; i++) {
            double clockRate = 1 + drift * (2 * random.nextDouble() - 1);
            SimulatedGateway gateway = new SimulatedGateway("g" + i, settings, engines, random, clockRate);
            gateways.add(gateway);
            voters.commit(new LimitCommand.Join(gateway.name, "h" + i % 2));
            gateway.start(nowUs);
        }
    }

    /** Sets the amount of the limit. Returns whether the command was accepted. */
    boolean setLimit(long amount) {
        return voters.commit(new LimitCommand.SetLimits(
                        ++epoch, List.of(new LimitSpec(LIMIT, LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, amount, 0))))
                .isAccepted();
    }

    private void send(int voter, int gateway, Heartbeat heartbeat, QuotaGrant grant) {
        int copies = random.nextDouble() < duplicateRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean lost = random.nextDouble() < lossRate
                    || brokenLinks.contains(List.of(voter, gateway, heartbeat == null ? 1 : 0));
            if (!lost) {
                messagesInFlight.add(new Message(
                        nowUs + 1 + random.nextLong(maxDelayUs * (i + 1)),
                        messageCount++,
                        voter,
                        gateway,
                        heartbeat,
                        grant));
            }
        }
    }

    private void deliver(Message message) {
        SimulatedGateway gateway = gateways.get(message.gateway);
        if (message.heartbeat != null) {
            SimulatedVoters.Voter voter = voters.voters.get(message.voter);
            voter.allocator.receiveHeartbeat(voter.localTimeUs(nowUs), gateway.name, message.heartbeat);
        } else {
            gateway.receiveGrant(nowUs, message.grant);
        }
    }

    /** Advances the fleet by {@link #STEP_US}. */
    void step() {
        nowUs += STEP_US;
        engines.tick(nowUs);
        List<Message> later = new ArrayList<>();
        while (!messagesInFlight.isEmpty() && messagesInFlight.peek().deliverAtUs <= nowUs) {
            Message message = messagesInFlight.poll();
            if (message.grant != null && gateways.get(message.gateway).paused) {
                later.add(message); // stays in the socket of the paused process
            } else {
                deliver(message);
            }
        }
        messagesInFlight.addAll(later);
        for (Map.Entry<Integer, AllocatorOutput> output : voters.step(nowUs).entrySet()) {
            for (QuotaGrant grant : output.getValue().grants()) {
                send(output.getKey(), Integer.parseInt(grant.member().substring(1)), null, grant);
            }
        }
        for (int i = 0; i < gateways.size(); i++) {
            SimulatedGateway gateway = gateways.get(i);
            if (gateway.holder == null || gateway.paused) {
                continue;
            }
            Heartbeat heartbeat = gateway.step(nowUs, LIMIT);
            if (heartbeat != null) {
                for (int voter = 0; voter < voters.voters.size(); voter++) {
                    send(voter, i, heartbeat, null);
                }
            }
        }
    }

    /** Steps until {@code durationUs} has passed. */
    void run(long durationUs) {
        for (long endUs = nowUs + durationUs; nowUs < endUs; ) {
            step();
        }
    }
}
