package sandpaddle.fleet.link.tcp;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Closed connections whose last frame is not delivered yet. Their sockets are closed once the peer has closed, or after
 * {@value #MAX_LINGER_US} us: closing at once would discard the frame if the peer had sent unread bytes. Bounded by
 * {@value #MAX_CONNECTIONS}; further ones are closed without the frame. Guarded by the lock of the links.
 */
final class ClosingConnections {
    static final int MAX_CONNECTIONS = 128;
    static final long MAX_LINGER_US = 1_000_000;

    private final Set<FramedSocket> sockets = new LinkedHashSet<>();

    boolean add(FramedSocket socket, long nowUs) {
        if (sockets.size() >= MAX_CONNECTIONS) {
            return false;
        }
        socket.closeAtUs = nowUs + MAX_LINGER_US;
        return sockets.add(socket);
    }

    void closeIfPresent(FramedSocket socket) {
        if (sockets.remove(socket)) {
            socket.close();
        }
    }

    void expire(long nowUs) {
        for (Iterator<FramedSocket> i = sockets.iterator(); i.hasNext(); ) {
            FramedSocket socket = i.next();
            if (nowUs >= socket.closeAtUs) {
                socket.close();
                i.remove();
            }
        }
    }

    void closeAll() {
        sockets.forEach(FramedSocket::close);
        sockets.clear();
    }
}
