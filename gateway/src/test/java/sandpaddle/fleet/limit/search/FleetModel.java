package sandpaddle.fleet.limit.search;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.allocator.AllocatorOutput;
import sandpaddle.fleet.limit.table.LimitCommand;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.QuotaGrant;

/**
 * A small fleet for exhaustive search: three gateways, a limit of four, and two voters that may be the leader. A step
 * is three units of true time. In it the slow clock advances by two units and the fast ones by four, the extremes of a
 * drift of a third. A lease of six units (two steps) is three steps by the slow clock; engines drop attempts that were
 * not polled for three units.
 */
final class FleetModel {
    static final String LIMIT = "whole";
    static final int AMOUNT = 4;
    private static final long STEP = 3;
    private static final long FORGET_TIME = 3;

    final List<SimulatedGateway> gateways = new ArrayList<>();
    private final List<VoterReplica> voters = new ArrayList<>();
    private final List<LimitCommand> log = new ArrayList<>();
    private final List<LimitCommand> delayedCommands = new ArrayList<>(); // to be committed late
    private final List<Long> delayedCommandsUntil = new ArrayList<>();
    private int leader;
    private long term;
    private boolean delaysCommits;
    int time;
    int remainingFaults; // events that may still happen, besides NONE

    static LimitSettings settings() {
        return new LimitSettings(1, 6, FORGET_TIME, 0, 0, 5, 0, 1.0 / 3, 0.25, 0, EnumSet.allOf(Guard.class));
    }

    FleetModel(LimitSettings settings, int remainingFaults) {
        this.remainingFaults = remainingFaults;
        log.add(new LimitCommand.SetLimits(
                1, List.of(new LimitSpec(LIMIT, LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, AMOUNT, 0))));
        for (int i = 0; i < 3; i++) {
            gateways.add(new SimulatedGateway("g" + i, settings, 2 + i));
            gateways.get(i).hasDemand = i == 0;
            gateways.get(i).start();
            log.add(new LimitCommand.Join("g" + i, "h"));
        }
        voters.add(new VoterReplica(settings));
        voters.add(new VoterReplica(settings));
        elect(0);
    }

    private void elect(int next) {
        leader = next;
        VoterReplica voter = voters.get(next);
        voter.term = ++term;
        catchUp(voter);
        voter.allocator.elected(term);
    }

    private void catchUp(VoterReplica voter) {
        while (voter.appliedCommands < log.size()) {
            voter.table.apply(log.get(voter.appliedCommands++));
        }
    }

    private long now() {
        return time * STEP;
    }

    /** The events that may happen in this state. */
    List<Event> events() {
        List<Event> events = new ArrayList<>(List.of(new Event(Event.Kind.NONE, 0, 0)));
        if (remainingFaults == 0) {
            return events;
        }
        for (int i = 0; i < gateways.size(); i++) {
            SimulatedGateway gateway = gateways.get(i);
            for (Event.Kind kind : EnumSet.range(Event.Kind.HEARTBEATS_LOST, Event.Kind.LINKS_HEALED)) {
                if (gateway.links != kind && (kind != Event.Kind.ONLY_FORMER_LEADER || term > 1)) {
                    events.add(new Event(kind, i, 0));
                }
            }
            events.add(new Event(gateway.holder == null ? Event.Kind.START : Event.Kind.CRASH, i, 0));
            if (gateway.holder != null) {
                events.add(new Event(Event.Kind.RESTART, i, 0));
                events.add(new Event(gateway.paused ? Event.Kind.RESUME : Event.Kind.PAUSE, i, 0));
            }
            if (!gateway.hasDemand) {
                events.add(new Event(Event.Kind.DEMAND_MOVED, i, 0));
            }
            for (int index = 0; index < gateway.sentGrants.size(); index++) {
                events.add(new Event(Event.Kind.GRANT_REPLAYED, i, index));
            }
            for (int index = 0; index < gateway.sentHeartbeats.size(); index++) {
                events.add(new Event(Event.Kind.HEARTBEAT_REPLAYED, i, index));
            }
        }
        events.add(new Event(Event.Kind.LEADER_ELECTED, 0, 0));
        if (!delaysCommits) {
            events.add(new Event(Event.Kind.COMMITS_DELAYED, 0, 0));
        }
        return events;
    }

    private void apply(Event event) {
        SimulatedGateway gateway = gateways.get(event.gateway());
        remainingFaults -= event.kind() == Event.Kind.NONE ? 0 : 1;
        switch (event.kind()) {
            case NONE -> {}
            case CRASH -> gateway.crash();
            case START -> gateway.start();
            case RESTART -> {
                gateway.crash();
                gateway.start();
            }
            case PAUSE -> gateway.paused = true;
            case RESUME -> gateway.paused = false;
            case DEMAND_MOVED -> gateways.forEach(each -> each.hasDemand = each == gateway);
            case GRANT_REPLAYED -> gateway.receiveGrant(gateway.sentGrants.get(event.index()));
            case HEARTBEAT_REPLAYED ->
                voters.get(leader)
                        .allocator
                        .receiveHeartbeat(voterClock(), gateway.name, gateway.sentHeartbeats.get(event.index()));
            case LEADER_ELECTED -> elect(1 - leader);
            case COMMITS_DELAYED -> delaysCommits = true;
            default -> gateway.links = event.kind();
        }
    }

    private long voterClock() {
        return time * 4L;
    }

    /** Advances the model by one step, in which one event happens. */
    void step(Event event) {
        time++;
        gateways.forEach(SimulatedGateway::tick);
        apply(event);
        gateways.forEach(gateway -> {
            gateway.engine.tick(now(), FORGET_TIME);
            gateway.work(now());
        });
        if (isOverLimit()) {
            return;
        }
        for (SimulatedGateway gateway : gateways) {
            if (gateway.isRunning()) {
                receiveHeartbeat(gateway, gateway.nextHeartbeat());
            }
        }
        commitDelayedCommands();
        for (int voter = 0; voter < 2; voter++) {
            for (int round = 0; round < 3; round++) {
                runAllocator(voter); // so that committed commands are granted in the same step
            }
        }
        for (SimulatedGateway gateway : gateways) {
            for (int i = gateway.delayedUntil.size() - 1; i >= 0; i--) {
                if (gateway.delayedUntil.get(i) <= time) {
                    gateway.receiveGrant(gateway.delayedGrants.remove(i));
                    gateway.delayedUntil.remove(i);
                }
            }
            gateway.work(now());
        }
    }

    private void receiveHeartbeat(SimulatedGateway gateway, Heartbeat heartbeat) {
        if (gateway.links == Event.Kind.HEARTBEATS_LOST || gateway.links == Event.Kind.PARTITIONED) {
            return;
        }
        for (int voter = 0; voter < 2; voter++) {
            if (gateway.links != Event.Kind.ONLY_FORMER_LEADER || voter != leader) {
                voters.get(voter).allocator.receiveHeartbeat(voterClock(), gateway.name, heartbeat);
            }
        }
    }

    private void commitDelayedCommands() {
        for (int i = 0; i < delayedCommands.size(); ) {
            if (delayedCommandsUntil.get(i) <= time) {
                log.add(delayedCommands.remove(i));
                delayedCommandsUntil.remove(i);
            } else {
                i++;
            }
        }
        catchUp(voters.get(leader));
    }

    private void runAllocator(int voterIndex) {
        VoterReplica voter = voters.get(voterIndex);
        if (voter.term == 0) {
            return;
        }
        boolean isLeader = voterIndex == leader;
        if (isLeader) {
            voter.allocator.onLeadershipConfirmed(voterClock());
        }
        AllocatorOutput output = voter.allocator.tick(voterClock());
        for (LimitCommand command : output.proposals()) {
            if (isLeader && !delaysCommits) {
                log.add(command);
            } else if (delaysCommits) {
                delayedCommands.add(command);
                delayedCommandsUntil.add(time + 3L);
            }
        }
        if (isLeader) {
            catchUp(voter);
        }
        for (QuotaGrant grant : output.grants()) {
            send(voterIndex, gateways.get(grant.member().charAt(1) - '0'), grant);
        }
    }

    private void send(int voterIndex, SimulatedGateway gateway, QuotaGrant grant) {
        if (!grant.slotGrants().isEmpty()) {
            gateway.sentGrants.add(grant);
            if (gateway.sentGrants.size() > SimulatedGateway.MAX_REPLAYS) {
                gateway.sentGrants.remove(0);
            }
        }
        boolean lost = gateway.links == Event.Kind.GRANTS_LOST
                || gateway.links == Event.Kind.PARTITIONED
                || gateway.links == Event.Kind.ONLY_FORMER_LEADER && voterIndex == leader;
        if (gateway.links == Event.Kind.GRANTS_DELAYED) {
            gateway.delayedGrants.add(grant);
            gateway.delayedUntil.add(time + 2L);
        } else if (!lost) {
            gateway.receiveGrant(grant);
        }
    }

    int running() {
        return gateways.stream()
                .mapToInt(gateway -> gateway.engine.polledAt.size())
                .sum();
    }

    boolean isOverLimit() {
        return running() > AMOUNT;
    }
}
