package sandpaddle.fleet.link.virtual;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;

/** A connection of two nodes like TCP: each direction keeps its order, and a cut delays it until it heals. */
final class VirtualConnection {
    /** One end: a process of a node, and its id of the connection. */
    static final class End {
        final VirtualNode node;
        final long generation;
        long connectionId;
        boolean open = true;
        final Queue<Runnable> heldBack = new ArrayDeque<>(); // arrivals at this end that a cut delays
        long lastArrivalUs;

        End(VirtualNode node, long connectionId) {
            this.node = node;
            this.generation = node.generation();
            this.connectionId = connectionId;
        }

        boolean isAlive() {
            return open && node.runs(generation);
        }
    }

    final End connecting;
    final End accepting;
    private final VirtualNet net;

    VirtualConnection(VirtualNet net, End connecting, End accepting) {
        this.net = net;
        this.connecting = connecting;
        this.accepting = accepting;
    }

    End other(End end) {
        return end == connecting ? accepting : connecting;
    }

    /** Sends a frame from one end to the other. */
    void sendFrame(End from, ByteBuffer frame) {
        End to = other(from);
        schedule(from, to, () -> {
            if (to.isAlive()) {
                to.node.run(() -> to.node.bytesReceived(to.connectionId, frame));
            } else if (!to.node.isPoweredOff()) {
                schedule(to, from, () -> endConnection(from, "reset by the peer"));
            }
        });
    }

    /** Closes one end; the other end sees it after the frames sent before. */
    void close(End from) {
        from.open = false;
        End to = other(from);
        schedule(from, to, () -> endConnection(to, "closed by the peer"));
    }

    private static void endConnection(End end, String detail) {
        if (end.isAlive()) {
            end.open = false;
            end.node.run(() -> end.node.connectionEnded(end.connectionId, detail));
        }
    }

    private void schedule(End from, End to, Runnable arrival) {
        to.lastArrivalUs = Math.max(
                to.lastArrivalUs,
                net.time().now() + net.drawJitterUs() + net.paths().delayOf(from.node.name(), to.node.name()));
        net.time().at(to.lastArrivalUs, () -> {
            if (!to.heldBack.isEmpty() || net.paths().isCut(from.node.name(), to.node.name())) {
                to.heldBack.add(arrival);
            } else {
                arrival.run();
            }
        });
    }

    /** Delivers what a cut has delayed, if the cut has healed. */
    void deliverHeldBack() {
        for (End to : new End[] {connecting, accepting}) {
            if (!to.heldBack.isEmpty() && !net.paths().isCut(other(to).node.name(), to.node.name())) {
                for (Runnable task = to.heldBack.poll(); task != null; task = to.heldBack.poll()) {
                    task.run();
                }
            }
        }
    }

    boolean isClosed() {
        return !connecting.isAlive() && !accepting.isAlive();
    }
}
