package sandpaddle.fleet.link.manager;

import java.nio.ByteBuffer;
import sandpaddle.fleet.link.LinkSettings.Address;

/**
 * Opens, writes and closes connections for {@link LinkManager}: over sockets, or in virtual time. No method may call
 * the link manager back before it returns.
 */
public interface LinkTransport {
    /** Connects; later comes {@code connected} or {@code ended}. */
    void dial(long wire, Address to);

    /** Frames wait in {@code nextFrame}; take them when the peer can. */
    void ready(long wire);

    /** Ends a connection, after what was begun and the last frame where there is one; no event of it is wanted. */
    void close(long wire, ByteBuffer last);
}
