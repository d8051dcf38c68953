package sandpaddle.interleaving;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import sandpaddle.integration.Client;

/** A MySQL client whose bytes and closes the test scripts, on a non-blocking socket. */
final class ScriptedClient implements AutoCloseable {
    private static final int ERROR_PACKET = 0xFF;
    private static final int EOF_PACKET = 0xFE;
    private static final int HEADER_BYTES = 4;

    private final SocketChannel channel;
    private final int gatewayPort;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private final ByteBuffer buffer = ByteBuffer.allocate(8 * 1024);
    private long written;
    private boolean ended, reset;

    ScriptedClient(InetSocketAddress gateway) throws IOException {
        channel = SocketChannel.open(gateway);
        channel.configureBlocking(false);
        channel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
        this.gatewayPort = gateway.getPort();
    }

    int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /**
     * Sends bytes and waits until all of them are in the gateway's receive queue.
     *
     * @param bytes the bytes
     * @param unreadBefore number of bytes that are in the receive queue already
     */
    void sendAndAwait(byte[] bytes, long unreadBefore) throws IOException {
        ByteBuffer bytesLeft = ByteBuffer.wrap(bytes);
        while (bytesLeft.hasRemaining()) {
            channel.write(bytesLeft);
        }
        TcpSocketTable.awaitUnread(gatewayPort, port(), unreadBefore + bytes.length);
    }

    /** Sends bytes without awaiting their arrival. */
    void send(byte[] bytes) throws IOException {
        ByteBuffer bytesLeft = ByteBuffer.wrap(bytes);
        while (bytesLeft.hasRemaining()) {
            channel.write(bytesLeft);
        }
    }

    /** Closes the sending side and waits until the gateway's socket has received the FIN. */
    void halfCloseAndAwait() throws IOException {
        channel.shutdownOutput();
        TcpSocketTable.awaitEnd(gatewayPort, port());
    }

    /** Closes the connection, with nothing left unread, and waits until the gateway's socket has received the FIN. */
    void disconnectAndAwait() throws IOException {
        read();
        int port = port();
        channel.close();
        TcpSocketTable.awaitEnd(gatewayPort, port);
    }

    /** Closes the sending side without awaiting the FIN's arrival. */
    void halfClose() throws IOException {
        channel.shutdownOutput();
    }

    /** Closes the connection without awaiting the FIN's arrival. */
    void disconnect() throws IOException {
        read();
        channel.close();
    }

    /** Closes the connection with an RST. */
    void resetConnection() throws IOException {
        if (channel.isOpen()) {
            Socket socket = channel.socket();
            socket.setSoLinger(true, 0);
            channel.close();
        }
    }

    void read() throws IOException {
        ByteBuffer chunk = buffer.clear();
        try {
            int count = channel.isOpen() && !ended ? channel.read(chunk) : 0;
            while (count > 0) {
                received.write(chunk.array(), 0, count);
                chunk.clear();
                count = channel.read(chunk);
            }
            ended |= count < 0;
        } catch (IOException e) {
            ended = true;
            reset = true;
        }
    }

    boolean isOpen() {
        return channel.isOpen();
    }

    /** Whether the gateway has closed or reset the connection. */
    boolean isEnded() {
        return ended;
    }

    /** Whether the gateway has reset the connection. */
    boolean isReset() {
        return reset;
    }

    /** The payloads of the packets read so far. */
    List<byte[]> packets() {
        return packets(HEADER_BYTES);
    }

    /** The sequence id in the header of a packet. */
    int sequenceNumber(int packet) {
        return packets(0).get(packet)[HEADER_BYTES - 1] & 0xFF;
    }

    private List<byte[]> packets(int skippedBytes) {
        List<byte[]> all = new ArrayList<>();
        byte[] b = received.toByteArray();
        for (int at = 0; at + HEADER_BYTES <= b.length; ) {
            int length = b[at] & 0xFF | (b[at + 1] & 0xFF) << 8 | (b[at + 2] & 0xFF) << 16;
            int end = at + HEADER_BYTES + length;
            if (end > b.length) {
                break;
            }
            all.add(java.util.Arrays.copyOfRange(b, at + skippedBytes, end));
            at = end;
        }
        return all;
    }

    /** The connection id of the greeting. */
    int connectionId() {
        byte[] p = packets().get(0);
        int at = 1;
        while (p[at] != 0) {
            at++;
        }
        return p[at + 1] & 0xFF | (p[at + 2] & 0xFF) << 8 | (p[at + 3] & 0xFF) << 16 | (p[at + 4] & 0xFF) << 24;
    }

    /** The answers after greeting and login: "ok", an error code, "rows" for a result, or "truncated". */
    List<String> answers() {
        List<String> all = new ArrayList<>();
        List<byte[]> packets = packets();
        for (int i = 2; i < packets.size(); i++) {
            byte[] p = packets.get(i);
            if ((p[0] & 0xFF) == ERROR_PACKET) {
                all.add(Integer.toString(p[1] & 0xFF | (p[2] & 0xFF) << 8));
            } else if (p[0] == 0) {
                all.add("ok");
            } else {
                int eofs = 0;
                for (; i < packets.size() && eofs < 2; i++) {
                    eofs += (packets.get(i)[0] & 0xFF) == EOF_PACKET && packets.get(i).length == 5 ? 1 : 0;
                }
                i--;
                all.add(eofs == 2 ? "rows" : "truncated");
            }
        }
        return all;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    static byte[] login() {
        return Client.login();
    }

    static byte[] packet(int seq, byte[] payload) {
        return Client.packet(seq, payload);
    }

    static byte[] query(String text) {
        return Client.query(text);
    }

    static byte[] query(String route, int trace, int timeoutMs) {
        return query("/* route=%s,trace=%016x,patience=%d,weight=20.0,est_mb=8 */ SELECT 1"
                .formatted(route, trace, timeoutMs));
    }

    static byte[] concat(byte[] first, byte[] second) {
        byte[] all = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }
}
