package sandpaddle.fleet.link.tcp;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.Links.LossReason;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.link.frame.RejectionCode;
import sandpaddle.fleet.link.manager.LinkEvents;
import sandpaddle.fleet.member.Member;

/**
 * Delivers link events to the fleet's thread in order, and counts the bytes not yet processed. Events are added under
 * the lock of the links; {@link #waitingBytes} may be read on any thread.
 */
final class LinkEventQueue implements LinkEvents {
    private static final int EVENT_OVERHEAD_BYTES = 128; // estimated memory of an event without its payload

    private final Links.Listener listener;
    private final Executor fleet;
    private final LongSupplier clock;
    private final LinkLogger logger = new LinkLogger();
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

    private void enqueue(int bytes, Runnable event) {
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
            waitingBytes.addAndGet(-bytes); // the fleet's thread has ended
        }
    }

    void internalError(long nowUs, RuntimeException error) {
        logger.internalError(nowUs, error);
    }

    @Override
    public void messageReceived(String from, MessageKind kind, byte[] payload) {
        messages++;
        enqueue(payload.length + EVENT_OVERHEAD_BYTES, () -> listener.messageReceived(from, kind, payload));
    }

    @Override
    public void peerUp(Member peer, long incarnation) {
        logger.linkUp(peer, incarnation);
        enqueue(EVENT_OVERHEAD_BYTES, () -> listener.peerUp(peer, incarnation));
    }

    @Override
    public void peerDown(String peer, LossReason reason, String detail) {
        logger.linkDown(peer, reason, detail);
        enqueue(EVENT_OVERHEAD_BYTES, () -> listener.peerDown(peer, reason, detail));
    }

    @Override
    public void roundTripMeasured(String peer, long roundTripUs) {
        enqueue(EVENT_OVERHEAD_BYTES, () -> listener.roundTripMeasured(peer, roundTripUs));
    }

    @Override
    public void connectionRejected(String address, String claimedName, RejectionCode code, String detail) {
        logger.connectionRejected(clock.getAsLong(), address, claimedName, code, detail);
    }
}
