package sandpaddle.fleet.link.tcp;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import sandpaddle.fleet.link.Kind;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.Links.Loss;
import sandpaddle.fleet.link.frame.Refusal;
import sandpaddle.fleet.link.manager.LinkEvents;
import sandpaddle.fleet.member.Member;

/** Delivers link events to the fleet's thread, in order, and counts the bytes not yet consumed. */
final class LinkEventQueue implements LinkEvents {
    private static final int OVERHEAD = 128; // memory of one message beside its payload

    private final Links.Listener listener;
    private final Executor fleet;
    private final LongSupplier clock;
    private final LinkLog log = new LinkLog();
    private final AtomicLong waitingBytes = new AtomicLong();
    private long messages; // under the lock of TcpLinks

    LinkEventQueue(Links.Listener listener, Executor fleet, LongSupplier clock) {
        this.listener = listener;
        this.fleet = fleet;
        this.clock = clock;
    }

    long waitingBytes() {
        return waitingBytes.get();
    }

    /** Messages received since the start. */
    long messages() {
        return messages;
    }

    private void hand(int bytes, Runnable event) {
        waitingBytes.addAndGet(bytes);
        try {
            fleet.execute(() -> {
                try {
                    event.run();
                } finally {
                    waitingBytes.addAndGet(-bytes);
                }
            });
        } catch (RejectedExecutionException e) {
            waitingBytes.addAndGet(-bytes); // the fleet's thread has ended: nobody listens any more
        }
    }

    void fault(long now, RuntimeException e) {
        log.fault(now, e);
    }

    @Override
    public void received(String from, Kind kind, byte[] payload) {
        messages++;
        hand(payload.length + OVERHEAD, () -> listener.received(from, kind, payload));
    }

    @Override
    public void up(Member peer, long incarnation) {
        log.up(peer, incarnation);
        hand(OVERHEAD, () -> listener.up(peer, incarnation));
    }

    @Override
    public void down(String peer, Loss how, String why) {
        log.down(peer, how, why);
        hand(OVERHEAD, () -> listener.down(peer, how, why));
    }

    @Override
    public void measured(String peer, long roundTripUs) {
        hand(OVERHEAD, () -> listener.measured(peer, roundTripUs));
    }

    @Override
    public void refused(String address, String who, Refusal code, String why) {
        log.refused(clock.getAsLong(), address, who, code, why);
    }
}
