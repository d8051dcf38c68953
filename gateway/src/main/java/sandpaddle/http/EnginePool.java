package sandpaddle.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Iterator;
import sandpaddle.net.Connection;
import sandpaddle.net.Loop;
import sandpaddle.net.Timers;

/**
 * The connections to one engine, by its id: another engine at the same address has a pool of its own. Idle
 * ones are retired before the engine closes them, so that no call meets a connection that is about to end.
 */
final class EnginePool {
    /** Why no connection came up. {@code NO_ROOM} says nothing of the engine: this process has none to spare. */
    enum Down { REFUSED, UNREACHABLE, NO_ROOM }

    /** Who waits for a connection; one of the two is called, {@link #up} maybe at once. */
    interface Waiter {
        void up(EngineConnection connection);

        void down(Down how, String why);
    }

    /** {@code generation}: of the pool when the connection became idle. */
    private record Idle(EngineConnection connection, Instant since, int generation) { }

    /** What comes late after an answer, a copy or noise, must not be read as the answer to another call. */
    static final Duration QUIET = Duration.ofMillis(50);

    private final Loop loop;
    private final Engines engines;
    private final String id;
    private final InetSocketAddress address;
    private final ArrayDeque<Idle> idle = new ArrayDeque<>(); // the last one used is taken first
    private int generation; // connections that became idle in an earlier one are not trusted any more
    private boolean retired;

    EnginePool(Loop loop, Engines engines, String id, InetSocketAddress address) {
        this.loop = loop;
        this.id = id;
        this.engines = engines;
        this.address = address;
    }

    InetSocketAddress address() {
        return address;
    }

    String host() {
        return address.getHostString() + ":" + address.getPort();
    }

    boolean isRetired() {
        return retired;
    }

    /** A connection that has been quiet for a while since its last answer, or a new one. */
    void acquire(Waiter waiter) {
        acquire(waiter, false);
    }

    /** The same for a call that ends another one: descriptors are kept back for it. */
    void acquireReserved(Waiter waiter) {
        acquire(waiter, true);
    }

    /**
     * To wait for the quiet of one that was just used costs some ms, less than a handshake costs the engine. With many
     * gateways it is the usual case: each has few queries on an engine, and sends the next where one has just ended.
     * Where engines close idle ones before they are quiet, a call could cross the close: none is used again.
     */
    private void acquire(Waiter waiter, boolean reserved) {
        EngineConnection c = quietOne();
        boolean waits = c == null && QUIET.compareTo(engines.idleMost()) < 0;
        Idle next = waits ? idle.pollFirst() : null; // the one that is quiet first
        if (c != null) {
            waiter.up(c);
        } else if (next != null) {
            loop.at(next.since.plus(QUIET), () -> {
                if (mayReuse(next)) {
                    waiter.up(next.connection);
                } else {
                    next.connection.abandon();
                    connect(waiter, reserved);
                }
            });
        } else {
            connect(waiter, reserved);
        }
    }

    private boolean mayReuse(Idle kept) {
        return !retired && kept.generation == generation && !kept.connection.isStale();
    }

    private EngineConnection quietOne() {
        retireIdle();
        Instant latest = loop.now().minus(QUIET);
        for (Iterator<Idle> i = idle.descendingIterator(); i.hasNext();) {
            Idle next = i.next();
            if (next.since.isAfter(latest)) {
                continue;
            }
            i.remove();
            if (mayReuse(next)) {
                return next.connection;
            }
            next.connection.abandon(); // takes nothing more out of the list
        }
        return null;
    }

    /**
     * A new connection in place of the idle ones, which may lead to a machine that is cut off and reads what they bring
     * when it is back. They are closed first: many gateways' idle connections fill an engine's table.
     */
    void renew(Waiter waiter) {
        distrustIdle();
        connect(waiter);
    }

    /** A new connection, whatever is idle. */
    void connect(Waiter waiter) {
        connect(waiter, false);
    }

    private void connect(Waiter waiter, boolean reserved) {
        if (!engines.mayOpen(reserved)) {
            waiter.down(Down.NO_ROOM, "no descriptor to spare");
            return;
        }
        if (!engines.counts(id, this, reserved)) {
            waiter.down(Down.NO_ROOM, "no connection in the fleet's budget");
            return;
        }
        engines.opened();
        EngineConnection c = new EngineConnection(loop, this);
        Opening opening = new Opening(c, waiter);
        try {
            opening.connection = Connection.open(loop, Loop.Rank.ENGINE, address, opening);
        } catch (IOException e) {
            engines.ended(id);
            waiter.down(kind(e, Down.NO_ROOM), e.toString());
        }
    }

    private static Down kind(Exception cause, Down otherwise) {
        return cause instanceof ConnectException ? Down.REFUSED
                : cause instanceof NoRouteToHostException ? Down.UNREACHABLE : otherwise;
    }

    /** A connection that is coming up. */
    private final class Opening implements Connection.Owner {
        private final EngineConnection next;
        private final Waiter waiter;
        private final Timers.Timer bound;
        private Connection connection;

        Opening(EngineConnection next, Waiter waiter) {
            this.next = next;
            this.waiter = waiter;
            bound = loop.after(engines.connectTimeout(), this::late);
        }

        private void late() {
            connection.close();
            engines.ended(id);
            distrustIdle(); // a machine that is cut off leaves them open and silent
            waiter.down(Down.UNREACHABLE, "no connection in " + engines.connectTimeout().toMillis() + " ms");
        }

        @Override
        public void connected() {
            bound.cancel();
            next.attach(connection);
            waiter.up(next);
        }

        @Override
        public void received(ByteBuffer bytes) {
            throw new IllegalStateException("read before connected");
        }

        @Override
        public void closed(Exception cause) {
            bound.cancel();
            engines.ended(id);
            waiter.down(kind(cause, Down.UNREACHABLE), String.valueOf(cause));
        }
    }

    void release(EngineConnection c) {
        if (retired || c.isEnded() || c.isDoubted()) {
            c.abandon();
        } else {
            idle.addLast(new Idle(c, loop.now(), generation));
        }
    }

    void closed(EngineConnection c) {
        idle.removeIf(i -> i.connection == c);
        engines.ended(id);
    }

    /** Closes what has been idle for long. */
    void retireIdle() {
        Instant oldest = loop.now().minus(engines.idleMost());
        for (Iterator<Idle> i = idle.iterator(); i.hasNext();) {
            Idle next = i.next();
            if (!next.since.isBefore(oldest)) {
                return;
            }
            i.remove();
            next.connection.abandon();
        }
    }

    /** Closes what is idle and lets none be used that is waited for: their process may have died unseen. */
    void distrustIdle() {
        generation++;
        closeIdle();
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.pollLast().connection.abandon();
        }
    }

    /** Closes the one that has been idle longest; whether there was one. */
    boolean closeOldest() {
        Idle oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.connection.abandon();
        }
        return oldest != null;
    }

    /** The engine is gone: what is out may end, and nothing is kept. */
    void retire() {
        retired = true;
        closeIdle();
    }
}
