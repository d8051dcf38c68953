package sandpaddle.query;

import java.io.IOException;
import java.net.InetSocketAddress;

/** The server of one client protocol, as used by graceful shutdown. Confined to the event loop's thread. */
public interface Frontend {
    /** The address on which it listens. */
    InetSocketAddress address() throws IOException;

    /** Stops accepting connections, and closes those without an open query. */
    void stopListening();

    /** Closes the connections that have no open query. */
    void closeIdle();

    /** Whether no query is open and all answers are sent. */
    boolean isIdle();
}
