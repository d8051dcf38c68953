import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * The network between a gateway and an engine: passes bytes on, until it is cut. While it is cut, nothing passes in
 * either direction, the ends of connections included, and new connections never come up: the queue of the listening
 * socket is kept full, so that the system drops their SYNs. When it heals, what TCP still has to deliver arrives: the
 * bytes that were written and the end behind them. Of a connection that its sender has reset nothing arrives, since its
 * system has discarded what was not delivered.
 */
final class Link {
    private static final int BACKLOG = 1;

    private final String name;
    private final int target;
    private final ServerSocket listener;
    private final List<Socket> fillers = new ArrayList<>();
    private volatile boolean cut;

    Link(String name, int target) throws IOException {
        this.name = name;
        this.target = target;
        listener = Stand.listen(BACKLOG);
        listener.setSoTimeout(5);
        Stand.spawn("link " + name, this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() throws Exception {
        while (true) {
            if (cut) {
                Stand.sleep(1);
                continue;
            }
            try {
                Socket near = listener.accept();
                Socket far = new Socket("127.0.0.1", target);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Stand.spawn("link " + name + " out", () -> pump(near, far));
                Stand.spawn("link " + name + " back", () -> pump(far, near));
            } catch (SocketTimeoutException e) {
                // looks whether it was cut
            }
        }
    }

    private void awaitHealed() {
        while (cut) {
            Stand.sleep(1);
        }
    }

    /** Passes bytes on; what is read while the link is cut waits until it has healed, and is lost by a reset. */
    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream in = from.getInputStream();
            while (true) {
                int read = in.read(buffer);
                ByteArrayOutputStream waiting = new ByteArrayOutputStream();
                if (cut) {
                    awaitHealed();
                    from.setSoTimeout(20);
                    try {
                        while (read > 0) {
                            waiting.write(buffer, 0, read);
                            read = in.read(buffer); // throws if the sender has reset the connection
                        }
                    } catch (SocketTimeoutException e) {
                        read = 0; // the connection is open
                    }
                    from.setSoTimeout(0);
                } else if (read > 0) {
                    waiting.write(buffer, 0, read);
                }
                waiting.writeTo(to.getOutputStream());
                if (read < 0) {
                    to.shutdownOutput();
                    return;
                }
            }
        } catch (IOException e) {
            reset(from);
            reset(to);
        }
    }

    /** Cuts the link; returns once no new connection comes up. */
    void cut() throws IOException {
        cut = true;
        Stand.sleep(20); // accept() has seen it
        Stand.note("link " + name + " is cut");
        while (true) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), 60);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
    }

    /** Heals the link. */
    void heal() {
        fillers.forEach(Link::reset);
        fillers.clear();
        cut = false;
        Stand.note("link " + name + " has healed");
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // it is closed
        }
    }
}
