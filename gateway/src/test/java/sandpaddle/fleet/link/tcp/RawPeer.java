package sandpaddle.fleet.link.tcp;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import sandpaddle.fleet.link.frame.Frame;
import sandpaddle.fleet.link.frame.Greeting;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/** A peer on a plain blocking socket that sends and receives only what a test asks for. */
final class RawPeer implements AutoCloseable {
    static final int TIMEOUT_MS = 10_000;

    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;

    private RawPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MS);
        in = new DataInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static RawPeer connect(int port) throws IOException {
        return new RawPeer(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    static ServerSocket listen() throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReceiveBufferSize(8192); // small, so that a peer that reads nothing stalls the sender soon
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        server.setSoTimeout(TIMEOUT_MS);
        return server;
    }

    static RawPeer accept(ServerSocket server) throws IOException {
        return new RawPeer(server.accept());
    }

    static Greeting greeting(int version, String cluster, String name, String targetName, long incarnation) {
        return new Greeting(
                version, version, cluster, new Member(name, "hall-9", "127.0.0.1", 1), targetName, incarnation, 1);
    }

    RawPeer send(Frame frame) throws IOException {
        ByteBuffer bytes = frame.encode();
        return sendBytes(bytes.array());
    }

    RawPeer sendBytes(byte[] bytes) throws IOException {
        out.write(bytes);
        return this;
    }

    /** The next frame, or null if the other side has closed the connection. */
    Frame receive() throws IOException, FaultyMessageException {
        try {
            byte[] body = new byte[in.readInt()];
            in.readFully(body);
            return Frame.decode(body);
        } catch (EOFException | SocketException e) {
            return null;
        }
    }

    /** The next frame of a type, or null; other frames are skipped. */
    <T extends Frame> T receive(Class<T> type) throws IOException, FaultyMessageException {
        for (Frame frame = receive(); frame != null; frame = receive()) {
            if (type.isInstance(frame)) {
                return type.cast(frame);
            }
        }
        return null;
    }

    /** Completes the handshake as the connecting side. */
    RawPeer handshake(Greeting greeting) throws IOException, FaultyMessageException {
        send(new Frame.Hello(greeting));
        if (receive(Frame.Welcome.class) == null) {
            throw new IOException("no welcome");
        }
        return send(new Frame.Ping(1));
    }

    /** Reads a greeting and answers it as the accepting side. */
    RawPeer answerHello(Greeting greeting) throws IOException, FaultyMessageException {
        receive(Frame.Hello.class);
        return send(new Frame.Welcome(greeting));
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
