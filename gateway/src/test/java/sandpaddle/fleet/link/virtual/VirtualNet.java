package sandpaddle.fleet.link.virtual;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.frame.RejectionCode;
import sandpaddle.fleet.link.manager.LinkCounts;
import sandpaddle.fleet.member.Member;

/**
 * Links between any number of gateways in virtual time, without sockets or threads; a seed replays a run. Connections
 * behave as TCP does: in order, held up by a cut and brought over after it, closed or reset by whoever ended. {@link
 * #drop} and {@link #duplicate} are harsher than TCP: they strike single messages on links that stay up, as a message
 * of the layers above may be lost with its link and come again over the next. Each node runs the program's own
 * {@link sandpaddle.fleet.link.manager.LinkManager}.
 * Listeners are called one event at a time.
 */
public final class VirtualNet {
    private static final int MANY_PIPES = 1024;
    private static final long SYN_AGAIN_US = 500_000;

    /** A connection or greeting that a node refused. */
    public record Refused(String by, String who, RejectionCode code) {}

    private final Ways ways = new Ways();
    private final VirtualTime time = new VirtualTime();
    private final MessageFaults faults;
    private final LinkSettings.Times times;
    private final Map<String, VirtualNode> nodes = new TreeMap<>();
    private final List<Refused> refused = new ArrayList<>();
    private final List<VirtualPipe> pipes = new ArrayList<>();
    Predicate<String> known = nodes::containsKey;
    private long incarnations;

    public VirtualNet(long seed) {
        this(seed, LinkSettings.Times.DEFAULT);
    }

    public VirtualNet(long seed, LinkSettings.Times times) {
        faults = new MessageFaults(time, new SplittableRandom(seed));
        this.times = times;
    }

    /** A member whose address leads to the node of the same name. */
    public static Member member(String name, String zone) {
        return new Member(name, zone, name, 1);
    }

    /** Starts a gateway. What it is told, it is told in virtual time. */
    public Links node(String name, String zone, Links.Listener listener) {
        VirtualNode node = new VirtualNode(this, member(name, zone), listener);
        nodes.put(name, node);
        node.start(++incarnations);
        return node;
    }

    /** All nodes as members, by name. */
    public Set<Member> members() {
        Set<Member> all = new HashSet<>();
        nodes.values().forEach(n -> all.add(n.self));
        return all;
    }

    /** Who may greet; all nodes where it was never called. */
    public void known(Predicate<String> members) {
        known = members;
    }

    /** Kills a process; its peers' connections are closed by its kernel. */
    public void crash(String name) {
        nodes.get(name).end(false);
    }

    /** A machine loses its power: nobody is told, and nobody answers. */
    public void vanish(String name) {
        nodes.get(name).end(true);
    }

    /** Starts it again, with a higher incarnation; it wants no links until it is told to. */
    public void restart(String name) {
        nodes.get(name).start(++incarnations);
    }

    /** Stops a process as SIGSTOP does: its kernel still takes what comes. */
    public void stop(String name) {
        nodes.get(name).stop();
    }

    public void resume(String name) {
        nodes.get(name).resume();
    }

    /** Nothing comes over in this direction. */
    public void cut(String from, String to) {
        ways.cut(from, to);
    }

    /** It does again, and first what was held up. */
    public void heal(String from, String to) {
        ways.heal(from, to);
        List.copyOf(pipes).forEach(VirtualPipe::healed);
    }

    /** Cuts a node off from all others, both ways. */
    public void isolate(String name) {
        nodes.keySet().forEach(other -> ways.cut(name, other));
        nodes.keySet().forEach(other -> ways.cut(other, name));
    }

    /** Ends all cuts. */
    public void healAll() {
        ways.healAll();
        List.copyOf(pipes).forEach(VirtualPipe::healed);
    }

    /** The second takes nothing from the first while the connection stays open. */
    public void clog(String from, String to) {
        ways.clog(from, to);
    }

    /** It does again, from the next message on. */
    public void unclog(String from, String to) {
        ways.unclog(from, to);
    }

    /** One way's time. */
    public void delay(String from, String to, long us) {
        ways.delay(from, to, us);
    }

    /** Every way's time, but those set one by one. */
    public void delay(long us) {
        ways.delay(us);
    }

    /** Up to so much more for each frame, drawn; one connection keeps its order, two do not. */
    public void jitter(long us) {
        faults.jitterUs = us;
    }

    /** The part of messages that are lost, from 0 to 1. */
    public void drop(double part) {
        faults.drop = part;
    }

    /** The part of messages that come a second time, up to a second later and out of order, from 0 to 1. */
    public void duplicate(double part) {
        faults.duplicate = part;
    }

    /** Runs something at a time (us). */
    public void at(long us, Runnable what) {
        time.at(us, what);
    }

    public void advance(long toUs) {
        time.advance(toUs);
    }

    public long now() {
        return time.now();
    }

    public LinkCounts counts(String name) {
        return nodes.get(name).counts();
    }

    public List<Refused> refused() {
        return refused;
    }

    long jitter() {
        return faults.jitter();
    }

    Ways ways() {
        return ways;
    }

    VirtualTime time() {
        return time;
    }

    LinkSettings.Times times() {
        return times;
    }

    void refused(String by, String claimedName, RejectionCode code) {
        refused.add(new Refused(by, claimedName, code));
    }

    /** Connects as a kernel does: asked again while cut, refused where no process listens. */
    void dial(VirtualNode from, long generation, long connectionId, String host) {
        VirtualNode to = nodes.get(host);
        if (!from.wants(generation, connectionId)) {
            return;
        }
        if (to == null) {
            from.failed(connectionId, Links.LossReason.UNREACHABLE, "host " + host + " is not known");
            return;
        }
        long roundTrip = ways.delayOf(from.name(), host) + ways.delayOf(host, from.name()) + faults.jitter();
        boolean lost = to.isVanished() || ways.isCut(from.name(), host) || ways.isCut(host, from.name());
        time.after(lost ? SYN_AGAIN_US : roundTrip, () -> {
            if (lost) {
                dial(from, generation, connectionId, host);
            } else if (from.wants(generation, connectionId)) {
                connect(from, connectionId, to);
            }
        });
    }

    private void connect(VirtualNode from, long connectionId, VirtualNode to) {
        if (!to.runs(to.generation())) {
            from.failed(connectionId, Links.LossReason.REFUSED, "nobody listens at " + to.name());
            return;
        }
        VirtualPipe.End there = new VirtualPipe.End(to, 0);
        VirtualPipe pipe = new VirtualPipe(this, new VirtualPipe.End(from, connectionId), there);
        pipes.add(pipe);
        if (pipes.size() % MANY_PIPES == 0) {
            pipes.removeIf(VirtualPipe::isOver);
        }
        from.attach(pipe, pipe.dialler);
        to.run(() -> {
            there.wire = to.accept(from.name());
            if (there.wire == 0) {
                pipe.close(there);
            } else {
                to.attach(pipe, there);
            }
        });
        from.connected(connectionId);
    }

    /** Sends what a node has for a pipe. */
    void carry(VirtualPipe pipe, VirtualPipe.End from, ByteBuffer frame) {
        if (faults.passes(from, pipe.other(from), frame)) {
            pipe.frame(from, frame);
        }
    }
}
