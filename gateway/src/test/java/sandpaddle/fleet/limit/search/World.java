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
 * Three gateways, a limit of four, two voters that may lead. A step of time is three units of true time; the slow
 * clock counts two in it, the fast ones four: drift of a third, at its extremes. A lease of six units (two steps) is
 * three steps by the slow clock; engines forget after three units.
 */
final class World {
    static final String LIMIT = "whole";
    static final int AMOUNT = 4;
    private static final long STEP = 3;
    private static final long FORGET = 3;

    final List<SimulatedGateway> sites = new ArrayList<>();
    private final List<VoterReplica> voters = new ArrayList<>();
    private final List<LimitCommand> log = new ArrayList<>();
    private final List<LimitCommand> waiting = new ArrayList<>(); // to be agreed on late
    private final List<Long> waitingUntil = new ArrayList<>();
    private int leader;
    private long term;
    private boolean lateLog;
    int time;
    int faults; // that may still come

    static LimitSettings settings() {
        return new LimitSettings(1, 6, FORGET, 0, 0, 5, 0, 1.0 / 3, 0.25, 0, EnumSet.allOf(Guard.class));
    }

    World(LimitSettings settings, int faults) {
        this.faults = faults;
        log.add(new LimitCommand.SetLimits(
                1, List.of(new LimitSpec(LIMIT, LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, AMOUNT, 0))));
        for (int i = 0; i < 3; i++) {
            sites.add(new SimulatedGateway("g" + i, settings, 2 + i));
            sites.get(i).hungry = i == 0;
            sites.get(i).start();
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
        while (voter.applied < log.size()) {
            voter.table.apply(log.get(voter.applied++));
        }
    }

    private long now() {
        return time * STEP;
    }

    /** What may happen beside the passing of time, in this state. */
    List<Event> events() {
        List<Event> events = new ArrayList<>(List.of(new Event(Event.What.NONE, 0, 0)));
        if (faults == 0) {
            return events;
        }
        for (int i = 0; i < sites.size(); i++) {
            SimulatedGateway site = sites.get(i);
            for (Event.What what : EnumSet.range(Event.What.MUTE, Event.What.WELL)) {
                if (site.links != what && (what != Event.What.FORMER || term > 1)) {
                    events.add(new Event(what, i, 0));
                }
            }
            events.add(new Event(site.holder == null ? Event.What.START : Event.What.CRASH, i, 0));
            if (site.holder != null) {
                events.add(new Event(Event.What.RESTART, i, 0));
                events.add(new Event(site.stopped ? Event.What.GO : Event.What.STOP, i, 0));
            }
            if (!site.hungry) {
                events.add(new Event(Event.What.HUNGRY, i, 0));
            }
            for (int k = 0; k < site.grants.size(); k++) {
                events.add(new Event(Event.What.GRANT_AGAIN, i, k));
            }
            for (int k = 0; k < site.beats.size(); k++) {
                events.add(new Event(Event.What.BEAT_AGAIN, i, k));
            }
        }
        events.add(new Event(Event.What.ELECT, 0, 0));
        if (!lateLog) {
            events.add(new Event(Event.What.LATE_LOG, 0, 0));
        }
        return events;
    }

    private void happen(Event event) {
        SimulatedGateway site = sites.get(event.gateway());
        faults -= event.what() == Event.What.NONE ? 0 : 1;
        switch (event.what()) {
            case NONE -> {}
            case CRASH -> site.crash();
            case START -> site.start();
            case RESTART -> {
                site.crash();
                site.start();
            }
            case STOP -> site.stopped = true;
            case GO -> site.stopped = false;
            case HUNGRY -> sites.forEach(s -> s.hungry = s == site);
            case GRANT_AGAIN -> site.receiveGrant(site.grants.get(event.which()));
            case BEAT_AGAIN ->
                voters.get(leader).allocator.receiveHeartbeat(clock(), site.name, site.beats.get(event.which()));
            case ELECT -> elect(1 - leader);
            case LATE_LOG -> lateLog = true;
            default -> site.links = event.what();
        }
    }

    private long clock() {
        return time * 4L;
    }

    /** One step of time with one event. */
    void step(Event event) {
        time++;
        sites.forEach(SimulatedGateway::tick);
        happen(event);
        sites.forEach(site -> {
            site.engine.tick(now(), FORGET);
            site.work(now());
        });
        if (over()) {
            return;
        }
        for (SimulatedGateway site : sites) {
            if (site.runs()) {
                receiveHeartbeat(site, site.beat());
            }
        }
        agreeLate();
        for (int v = 0; v < 2; v++) {
            for (int k = 0; k < 3; k++) {
                turn(v); // what was agreed on is told in the same step
            }
        }
        for (SimulatedGateway site : sites) {
            for (int i = site.lateAt.size() - 1; i >= 0; i--) {
                if (site.lateAt.get(i) <= time) {
                    site.receiveGrant(site.late.remove(i));
                    site.lateAt.remove(i);
                }
            }
            site.work(now());
        }
    }

    private void receiveHeartbeat(SimulatedGateway site, Heartbeat heartbeat) {
        if (site.links == Event.What.MUTE || site.links == Event.What.CUT) {
            return;
        }
        for (int v = 0; v < 2; v++) {
            if (site.links != Event.What.FORMER || v != leader) {
                voters.get(v).allocator.receiveHeartbeat(clock(), site.name, heartbeat);
            }
        }
    }

    private void agreeLate() {
        for (int i = 0; i < waiting.size(); ) {
            if (waitingUntil.get(i) <= time) {
                log.add(waiting.remove(i));
                waitingUntil.remove(i);
            } else {
                i++;
            }
        }
        catchUp(voters.get(leader));
    }

    private void turn(int v) {
        VoterReplica voter = voters.get(v);
        if (voter.term == 0) {
            return;
        }
        boolean leads = v == leader;
        if (leads) {
            voter.allocator.onLeadershipConfirmed(clock());
        }
        AllocatorOutput turn = voter.allocator.tick(clock());
        for (LimitCommand command : turn.proposals()) {
            if (leads && !lateLog) {
                log.add(command);
            } else if (lateLog) {
                waiting.add(command);
                waitingUntil.add(time + 3L);
            }
        }
        if (leads) {
            catchUp(voter);
        }
        for (QuotaGrant grant : turn.grants()) {
            grant(v, sites.get(grant.member().charAt(1) - '0'), grant);
        }
    }

    private void grant(int v, SimulatedGateway site, QuotaGrant grant) {
        if (!grant.slotGrants().isEmpty()) {
            site.grants.add(grant);
            if (site.grants.size() > 3) {
                site.grants.remove(0);
            }
        }
        boolean lost = site.links == Event.What.DEAF
                || site.links == Event.What.CUT
                || site.links == Event.What.FORMER && v == leader;
        if (site.links == Event.What.LATE) {
            site.late.add(grant);
            site.lateAt.add(time + 2L);
        } else if (!lost) {
            site.receiveGrant(grant);
        }
    }

    int running() {
        return sites.stream().mapToInt(site -> site.engine.asked.size()).sum();
    }

    boolean over() {
        return running() > AMOUNT;
    }
}
