import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * A proxy in front of one engine that can be cut off for a while, as by a partition. While it is cut, open connections
 * stay open and silent, and new ones do not come up: the queue of its listening socket is kept full. What was written
 * meanwhile, an end of the connection too, arrives once the way is there again, as TCP sends it again.
 */
final class Cut {
    private static final int BACKLOG = 1;
    private static final int FILLERS = 4;
    private static final int FILL_MS = 50;
    private static final int RESET_MS = 20;
    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName(Play.HOST));
    private final int target;
    private final List<Socket> fillers = new ArrayList<>();
    private boolean isCut;

    Cut(int target) throws IOException {
        this.target = target;
        Play.daemon(() -> {
            while (true) {
                try {
                    awaitWay();
                    Socket client = server.accept();
                    Play.daemon(() -> carry(client));
                } catch (IOException | InterruptedException e) {
                    return;
                }
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    /** Cuts several ways at once; returns once no new connection comes up on any of them. */
    static void cut(List<Cut> ways) throws InterruptedException {
        List<Thread> filling = new ArrayList<>();
        for (Cut way : ways) {
            synchronized (way) {
                way.isCut = true;
            }
            filling.add(new Thread(way::fill));
        }
        filling.forEach(Thread::start);
        for (Thread thread : filling) {
            thread.join();
        }
    }

    private void fill() {
        for (int i = 0; i < FILLERS; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress(Play.HOST, port()), FILL_MS);
            } catch (IOException e) {
                // the queue is full
            }
        }
    }

    void heal() {
        fillers.forEach(Play::shut);
        fillers.clear();
        synchronized (this) {
            isCut = false;
            notifyAll();
        }
    }

    /** Waits until the way is there; returns whether it was cut. */
    private synchronized boolean awaitWay() throws InterruptedException {
        boolean wasCut = isCut;
        while (isCut) {
            wait();
        }
        return wasCut;
    }

    private void carry(Socket client) {
        try {
            Socket engine = new Socket(Play.HOST, target);
            client.setTcpNoDelay(true);
            engine.setTcpNoDelay(true);
            Play.daemon(() -> copy(engine, client));
            copy(client, engine);
        } catch (IOException e) {
            Play.reset(client);
        }
    }

    /**
     * Copies one direction. What came while the way was cut is passed on once it is there again, unless its sender has
     * reset the connection since: its system has then discarded what was not delivered.
     */
    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream in = from.getInputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                ByteArrayOutputStream waiting = new ByteArrayOutputStream();
                waiting.write(buffer, 0, count);
                if (awaitWay()) {
                    count = readWaiting(from, buffer, waiting);
                    waiting.writeTo(to.getOutputStream());
                    if (count < 0) {
                        break;
                    }
                } else {
                    waiting.writeTo(to.getOutputStream());
                }
                count = in.read(buffer);
            }
            awaitWay();
            to.shutdownOutput();
        } catch (IOException | InterruptedException e) {
            Play.reset(from);
            Play.reset(to);
        }
    }

    /** Reads what else came meanwhile; returns -1 at the end of the connection, 0 if it is open. */
    private static int readWaiting(Socket from, byte[] buffer, ByteArrayOutputStream waiting) throws IOException {
        from.setSoTimeout(RESET_MS);
        try {
            int count = from.getInputStream().read(buffer);
            while (count > 0) {
                waiting.write(buffer, 0, count);
                count = from.getInputStream().read(buffer);
            }
            return count;
        } catch (SocketTimeoutException e) {
            return 0;
        } finally {
            from.setSoTimeout(0);
        }
    }
}
