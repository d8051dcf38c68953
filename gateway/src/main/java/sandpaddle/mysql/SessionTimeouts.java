package sandpaddle.mysql;

import java.time.Duration;
import java.util.function.Consumer;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.TimerQueue;

/**
 * The timeouts of one session, which release the descriptor and memory of a client that makes no progress. Before a
 * timeout takes effect, input that arrived by then is read, since it may have arrived in time.
 */
final class SessionTimeouts {
    /** From the accepted connection to the first command; afterwards a session may stay idle without limit. */
    private static final Duration FIRST_COMMAND_TIMEOUT = Duration.ofMillis(2000);
    /** From the first byte of a packet to its last. */
    private static final Duration PACKET_TIMEOUT = Duration.ofMillis(1500);
    /** Closes the connection if its queued output has not shrunk for this long; a slow reader is not closed. */
    private static final Duration SEND_STALL_TIMEOUT = Duration.ofSeconds(30);

    private final EventLoop loop;
    private final Connection connection;
    private final Consumer<String> onTimeout;
    private TimerQueue.Timer firstCommandTimer, packetTimer, sendStallTimer; // null while not running

    /** Starts the timeout of the first command; {@code onTimeout} receives the reason of an expired timeout. */
    SessionTimeouts(EventLoop loop, Connection connection, Consumer<String> onTimeout) {
        this.loop = loop;
        this.connection = connection;
        this.onTimeout = onTimeout;
        firstCommandTimer = loop.scheduleAfter(FIRST_COMMAND_TIMEOUT, () -> {
            connection.readAvailable();
            if (firstCommandTimer != null) {
                onTimeout.accept("no command came");
            }
        });
    }

    /** Stops the timeout of the first command. */
    void commandReceived() {
        firstCommandTimer = cancelTimer(firstCommandTimer);
    }

    /** Stops the timeout of the current packet; the next packet gets another timeout. */
    void packetCompleted() {
        packetTimer = cancelTimer(packetTimer);
    }

    /** Starts the timeout of an incomplete packet, unless it is running. */
    void packetStarted() {
        if (packetTimer == null) {
            packetTimer = loop.scheduleAfter(PACKET_TIMEOUT, this::onPacketTimeout);
        }
    }

    private void onPacketTimeout() {
        TimerQueue.Timer expired = packetTimer;
        connection.readAvailable();
        if (packetTimer == expired && expired != null) {
            onTimeout.accept("the packet was never finished");
        }
    }

    /** Starts to watch the progress of queued output. */
    void outputPending() {
        if (sendStallTimer == null) {
            watchOutput();
        }
    }

    private void watchOutput() {
        long before = connection.unsentBytes();
        sendStallTimer = loop.scheduleAfter(SEND_STALL_TIMEOUT, () -> {
            if (connection.unsentBytes() >= before) {
                connection.onFailure(null);
            } else {
                watchOutput();
            }
        });
    }

    /** All output was sent: stops watching it. */
    void outputFlushed() {
        sendStallTimer = cancelTimer(sendStallTimer);
    }

    /** Stops all timeouts. */
    void cancel() {
        commandReceived();
        packetCompleted();
        outputFlushed();
    }

    private static TimerQueue.Timer cancelTimer(TimerQueue.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
        return null;
    }
}
