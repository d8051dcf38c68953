package sandpaddle.fleet.link.virtual;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;

/** A connection of two nodes: two directions that keep their order, as TCP does; what a cut holds up comes after it. */
final class VirtualPipe {
    /** One end: a node's process, and its number for the connection. */
    static final class End {
        final VirtualNode node;
        final long generation;
        long wire;
        boolean open = true;
        final Queue<Runnable> held = new ArrayDeque<>(); // arrived at a cut, on the way to this end
        long lastArrival;

        End(VirtualNode node, long connectionId) {
            this.node = node;
            this.generation = node.generation();
            this.wire = connectionId;
        }

        boolean lives() {
            return open && node.runs(generation);
        }
    }

    final End dialler;
    final End dialled;
    private final VirtualNet net;

    VirtualPipe(VirtualNet net, End dialler, End dialled) {
        this.net = net;
        this.dialler = dialler;
        this.dialled = dialled;
    }

    End other(End end) {
        return end == dialler ? dialled : dialler;
    }

    /** Sends a frame from one end to the other. */
    void frame(End from, ByteBuffer frame) {
        End to = other(from);
        carry(from, to, () -> {
            if (to.lives()) {
                to.node.run(() -> to.node.bytes(to.wire, frame));
            } else if (!to.node.isVanished()) {
                carry(to, from, () -> broken(from, "reset by the peer"));
            }
        });
    }

    /** One end closes: its order is kept behind the frames. */
    void close(End from) {
        from.open = false;
        End to = other(from);
        carry(from, to, () -> broken(to, "closed by the peer"));
    }

    private static void broken(End end, String detail) {
        if (end.lives()) {
            end.open = false;
            end.node.run(() -> end.node.broken(end.wire, detail));
        }
    }

    private void carry(End from, End to, Runnable arrival) {
        to.lastArrival = Math.max(
                to.lastArrival, net.time().now() + net.jitter() + net.ways().delayOf(from.node.name(), to.node.name()));
        net.time().at(to.lastArrival, () -> {
            if (!to.held.isEmpty() || net.ways().isCut(from.node.name(), to.node.name())) {
                to.held.add(arrival);
            } else {
                arrival.run();
            }
        });
    }

    /** Brings over what a cut held up. */
    void healed() {
        for (End to : new End[] {dialler, dialled}) {
            if (!to.held.isEmpty() && !net.ways().isCut(other(to).node.name(), to.node.name())) {
                for (Runnable task = to.held.poll(); task != null; task = to.held.poll()) {
                    task.run();
                }
            }
        }
    }

    boolean isOver() {
        return !dialler.lives() && !dialled.lives();
    }
}
