package sandpaddle.mysql;

import sandpaddle.eventloop.EventLoop;

/**
 * Limit on the packets of one session in a turn of the event loop, so that a client that sends much at once does not
 * delay the others. Counts all reads of the turn together, whoever caused them.
 */
final class TurnBudget {
    private static final int MAX_PACKETS = 64;
    /** The packet that reaches this limit is handled, so that a turn handles at most twice as much. */
    private static final int MAX_PAYLOAD_BYTES = PacketReader.MAX_PAYLOAD_BYTES;

    private final EventLoop loop;
    private long turn;
    private int packets;
    private int payloadBytes;

    TurnBudget(EventLoop loop) {
        this.loop = loop;
    }

    /** Counts a packet; returns whether no further one may be handled in this turn. */
    boolean spend(int bytes) {
        if (turn != loop.turn()) {
            turn = loop.turn();
            packets = 0;
            payloadBytes = 0;
        }
        packets++;
        payloadBytes += bytes;
        return packets >= MAX_PACKETS || payloadBytes >= MAX_PAYLOAD_BYTES;
    }
}
