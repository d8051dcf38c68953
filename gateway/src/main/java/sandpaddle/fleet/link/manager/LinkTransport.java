package sandpaddle.fleet.link.manager;

import java.nio.ByteBuffer;
import sandpaddle.fleet.link.LinkSettings.Address;

/**
 * Opens, writes and closes connections for {@link LinkManager}: over sockets, or in virtual time. No method may call
 * the link manager before it returns.
 */
public interface LinkTransport {
    /** Starts to connect; the result is {@code connectionEstablished} or {@code connectionEnded}. */
    void connect(long connectionId, Address address);

    /** Frames are available by {@code nextFrame}; the transport fetches them when it can write. */
    void framesQueued(long connectionId);

    /** Closes a connection after the frame being written and the optional last one. It causes no further event. */
    void close(long connectionId, ByteBuffer finalFrame);
}
