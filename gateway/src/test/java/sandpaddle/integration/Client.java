package sandpaddle.integration;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Client of the MySQL protocol on a blocking socket, with read timeout. */
public final class Client implements AutoCloseable {
    private static final int EOF = 0xFE;
    private static final int ERR = 0xFF;

    private final Socket socket = new Socket();
    private final DataInputStream in;

    Client(InetSocketAddress gateway) throws IOException {
        socket.connect(gateway, 2000);
        socket.setSoTimeout(8000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
    }

    /** Connects, reads the greeting and logs in. */
    static Client connect(InetSocketAddress gateway) throws IOException {
        Client c = new Client(gateway);
        c.connectionId = c.readGreeting();
        c.write(login());
        if (c.readPacket()[0] != 0) {
            throw new IOException("login refused");
        }
        return c;
    }

    /** Connection id from the greeting; 0 before the login. */
    int connectionId;

    /** Returns the {@code HandshakeResponse41} packet of user {@code app} with an empty password. */
    public static byte[] login() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int capabilities = 0x200 | 0x8 | 0x8000 | 0x80000;
        out.writeBytes(new byte[] {
            (byte) capabilities, (byte) (capabilities >> 8), (byte) (capabilities >> 16), 0, 0, 0, 0, 1, 45
        });
        out.writeBytes(new byte[23]);
        out.writeBytes("app\0\0core\0mysql_native_password\0".getBytes(StandardCharsets.US_ASCII));
        return packet(1, out.toByteArray());
    }

    /** Returns a packet: the 4-byte header with the given sequence id, then the payload. */
    public static byte[] packet(int seq, byte[] payload) {
        byte[] b = new byte[payload.length + 4];
        for (int i = 0; i < 3; i++) {
            b[i] = (byte) (payload.length >> 8 * i);
        }
        b[3] = (byte) seq;
        System.arraycopy(payload, 0, b, 4, payload.length);
        return b;
    }

    /** Returns a command packet: the command byte, then the text. */
    static byte[] command(int command, String text) {
        return packet(0, ((char) command + text).getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns a {@code COM_QUERY} packet. */
    public static byte[] query(String text) {
        return command(3, text);
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /**
     * Writes a packet repeatedly until the peer has read nothing for a second, or {@code maxBytes} are written.
     *
     * @return the number of bytes written
     */
    int writeUntilBlocked(byte[] packet, int maxBytes) throws IOException, InterruptedException {
        AtomicInteger written = new AtomicInteger();
        byte[] batch = new byte[packet.length * 4096];
        for (int i = 0; i < batch.length; i++) {
            batch[i] = packet[i % packet.length];
        }
        ScriptedEngine.daemon(() -> {
            try {
                for (; written.get() < maxBytes; written.addAndGet(batch.length)) {
                    write(batch);
                }
            } catch (IOException e) {
                // the socket was closed at the end of the test
            }
        });
        int previous = -1;
        while (written.get() < maxBytes && written.get() != previous) {
            previous = written.get();
            for (int i = 0; i < 100 && written.get() == previous; i++) {
                TimeUnit.MILLISECONDS.sleep(10); // blocked: the peer read nothing for a second
            }
        }
        return written.get();
    }

    /**
     * Reads the greeting.
     *
     * @return the low 16 bits of the connection id
     */
    int readGreeting() throws IOException {
        byte[] p = readPacket();
        int offset = 1;
        while (p[offset] != 0) {
            offset++;
        }
        return ByteBuffer.wrap(p, offset + 1, Integer.BYTES)
                .order(ByteOrder.LITTLE_ENDIAN)
                .getInt();
    }

    /** Reads a packet and returns its payload. */
    byte[] readPacket() throws IOException {
        byte[] header = new byte[4];
        in.readFully(header);
        byte[] payload = new byte[header[0] & 0xFF | (header[1] & 0xFF) << 8 | (header[2] & 0xFF) << 16];
        in.readFully(payload);
        return payload;
    }

    /** Reads the first packet of the server: empty for a greeting, otherwise the error as code and message. */
    String readGreetingOrError() throws IOException {
        byte[] p = readPacket();
        return (p[0] & 0xFF) == ERR ? error(p) : "";
    }

    private static String error(byte[] payload) {
        return (payload[1] & 0xFF | (payload[2] & 0xFF) << 8) + " "
                + new String(payload, 9, payload.length - 9, StandardCharsets.UTF_8);
    }

    /**
     * Reads the response to a command: {@code ok}, code and message of an error, or the rows as {@code a|b|c} joined
     * by slashes.
     */
    String readAnswer() throws IOException {
        byte[] p = readPacket();
        if (p[0] == 0) {
            return "ok";
        }
        if ((p[0] & 0xFF) == ERR) {
            return error(p);
        }
        for (int columns = p[0]; columns >= 0; columns--) { // column definitions and an EOF packet
            readPacket();
        }
        List<String> rows = new ArrayList<>();
        for (p = readPacket(); !((p[0] & 0xFF) == EOF && p.length == 5); p = readPacket()) {
            List<String> cells = new ArrayList<>();
            for (int offset = 0; offset < p.length; offset += (p[offset] & 0xFF) + 1) {
                cells.add(new String(p, offset + 1, p[offset] & 0xFF, StandardCharsets.ISO_8859_1));
            }
            rows.add(String.join("|", cells));
        }
        return String.join("/", rows);
    }

    /** Sends a query and reads its response. */
    String execute(String text) throws IOException {
        write(query(text));
        return readAnswer();
    }

    /** Waits for the next byte and returns whether the stream has ended instead. */
    boolean isClosedByGateway() throws IOException {
        return in.read() < 0;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
