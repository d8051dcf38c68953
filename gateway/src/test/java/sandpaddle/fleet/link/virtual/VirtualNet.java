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
 * A simulated network of any number of gateways in virtual time, without sockets or threads; a run is reproducible by
 * its seed. Connections have TCP's semantics: frames arrive in order, a cut delays them until it heals, and the end of
 * a process closes or resets its connections. {@link #drop} and {@link #duplicate} go beyond TCP: they affect single
 * messages on links that stay up, because a message may be lost with its link and sent again over the next one. Each
 * node runs the production {@link sandpaddle.fleet.link.manager.LinkManager}. Listeners get one event at a time.
 */
public final class VirtualNet {
    private static final int CLEANUP_INTERVAL = 1024;
    private static final long SYN_RETRY_US = 500_000;

    /** A connection or greeting that a node rejected. */
    public record Rejection(String rejectedBy, String claimedName, RejectionCode code) {}

    private final NetworkPaths paths = new NetworkPaths();
    private final VirtualTime time = new VirtualTime();
    private final MessageFaults faults;
    private final LinkSettings.Times times;
    private final Map<String, VirtualNode> nodes = new TreeMap<>();
    private final List<Rejection> rejections = new ArrayList<>();
    private final List<VirtualConnection> connections = new ArrayList<>();
    Predicate<String> isMember = nodes::containsKey;
    private long lastIncarnation;

    /** Creates a network with the default timeouts. */
    public VirtualNet(long seed) {
        this(seed, LinkSettings.Times.DEFAULT);
    }

    /** Creates a network whose nodes have these timeouts. */
    public VirtualNet(long seed, LinkSettings.Times times) {
        faults = new MessageFaults(time, new SplittableRandom(seed));
        this.times = times;
    }

    /** A member whose address is that of the node with the same name. */
    public static Member member(String name, String zone) {
        return new Member(name, zone, name, 1);
    }

    /** Starts a gateway; its listener is called in virtual time. */
    public Links node(String name, String zone, Links.Listener listener) {
        VirtualNode node = new VirtualNode(this, member(name, zone), listener);
        nodes.put(name, node);
        node.start(++lastIncarnation);
        return node;
    }

    /** All nodes as members. */
    public Set<Member> members() {
        Set<Member> members = new HashSet<>();
        nodes.values().forEach(node -> members.add(node.self));
        return members;
    }

    /** Sets which names are members; by default all nodes are. */
    public void setMembership(Predicate<String> membership) {
        isMember = membership;
    }

    /** Kills a process; its kernel closes its connections. */
    public void crash(String name) {
        nodes.get(name).endProcess(false);
    }

    /** Powers off a machine: its connections are not closed, and it does not answer. */
    public void powerOff(String name) {
        nodes.get(name).endProcess(true);
    }

    /** Starts a process again with a higher incarnation and without required peers. */
    public void restart(String name) {
        nodes.get(name).start(++lastIncarnation);
    }

    /** Stops a process like SIGSTOP: its kernel still receives data. */
    public void stop(String name) {
        nodes.get(name).stop();
    }

    /** Continues a stopped process like SIGCONT. */
    public void resume(String name) {
        nodes.get(name).resume();
    }

    /** Cuts one direction: nothing arrives any more. */
    public void cut(String from, String to) {
        paths.cut(from, to);
    }

    /** Ends the cut of one direction and delivers what it delayed. */
    public void heal(String from, String to) {
        paths.heal(from, to);
        List.copyOf(connections).forEach(VirtualConnection::deliverHeldBack);
    }

    /** Cuts both directions between a node and all others. */
    public void isolate(String name) {
        nodes.keySet().forEach(other -> paths.cut(name, other));
        nodes.keySet().forEach(other -> paths.cut(other, name));
    }

    /** Ends all cuts and delivers what they delayed. */
    public void healAll() {
        paths.healAll();
        List.copyOf(connections).forEach(VirtualConnection::deliverHeldBack);
    }

    /** The second node reads nothing from the first, while the connection stays open. */
    public void stallReads(String from, String to) {
        paths.stallReads(from, to);
    }

    /** The second node reads again, from the next message on. */
    public void resumeReads(String from, String to) {
        paths.resumeReads(from, to);
    }

    /** Sets the delay of one direction (us). */
    public void delay(String from, String to, long us) {
        paths.delay(from, to, us);
    }

    /** Sets the delay of all directions that have no delay of their own (us). */
    public void delay(long us) {
        paths.delay(us);
    }

    /** Sets the maximum random additional delay of a frame (us); only frames of one connection stay in order. */
    public void jitter(long us) {
        faults.jitterUs = us;
    }

    /** Sets the probability that a message is lost. */
    public void drop(double probability) {
        faults.dropProbability = probability;
    }

    /** Sets the probability that a message is delivered twice, up to a second later and out of order. */
    public void duplicate(double probability) {
        faults.duplicateProbability = probability;
    }

    /** Schedules an action at a time (us). */
    public void at(long us, Runnable action) {
        time.at(us, action);
    }

    /** Runs all events up to a time (us). */
    public void advance(long toUs) {
        time.advance(toUs);
    }

    /** Virtual time since the start (us). */
    public long now() {
        return time.now();
    }

    /** The counters of a node. */
    public LinkCounts counts(String name) {
        return nodes.get(name).counts();
    }

    /** The rejections so far, in order. */
    public List<Rejection> rejections() {
        return rejections;
    }

    long drawJitterUs() {
        return faults.drawJitterUs();
    }

    NetworkPaths paths() {
        return paths;
    }

    VirtualTime time() {
        return time;
    }

    LinkSettings.Times times() {
        return times;
    }

    void connectionRejected(String by, String claimedName, RejectionCode code) {
        rejections.add(new Rejection(by, claimedName, code));
    }

    /** Connects like a kernel: retries the SYN during a cut, refused if no process listens. */
    void startConnect(VirtualNode from, long generation, long connectionId, String host) {
        VirtualNode to = nodes.get(host);
        if (!from.isConnecting(generation, connectionId)) {
            return;
        }
        if (to == null) {
            from.connectFailed(connectionId, Links.LossReason.UNREACHABLE, "host " + host + " is not known");
            return;
        }
        long roundTrip = paths.delayOf(from.name(), host) + paths.delayOf(host, from.name()) + faults.drawJitterUs();
        boolean lost = to.isPoweredOff() || paths.isCut(from.name(), host) || paths.isCut(host, from.name());
        time.after(lost ? SYN_RETRY_US : roundTrip, () -> {
            if (lost) {
                startConnect(from, generation, connectionId, host);
            } else if (from.isConnecting(generation, connectionId)) {
                completeConnect(from, connectionId, to);
            }
        });
    }

    private void completeConnect(VirtualNode from, long connectionId, VirtualNode to) {
        if (!to.runs(to.generation())) {
            from.connectFailed(connectionId, Links.LossReason.REFUSED, "no process listens at " + to.name());
            return;
        }
        VirtualConnection.End acceptingEnd = new VirtualConnection.End(to, 0);
        VirtualConnection connection =
                new VirtualConnection(this, new VirtualConnection.End(from, connectionId), acceptingEnd);
        connections.add(connection);
        if (connections.size() % CLEANUP_INTERVAL == 0) {
            connections.removeIf(VirtualConnection::isClosed);
        }
        from.attach(connection, connection.connecting);
        to.run(() -> {
            acceptingEnd.connectionId = to.accept(from.name());
            if (acceptingEnd.connectionId == 0) {
                connection.close(acceptingEnd);
            } else {
                to.attach(connection, acceptingEnd);
            }
        });
        from.connected(connectionId);
    }

    /** Sends a frame over a connection, unless it is lost. */
    void transmit(VirtualConnection connection, VirtualConnection.End from, ByteBuffer frame) {
        if (faults.isDelivered(from, connection.other(from), frame)) {
            connection.sendFrame(from, frame);
        }
    }
}
