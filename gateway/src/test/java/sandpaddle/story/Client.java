package sandpaddle.story;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A client of the MySQL protocol that blocks. */
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

    /** Connects and logs in; the greeting's connection id is returned by {@link #greeted()}. */
    static Client ready(InetSocketAddress gateway) throws IOException {
        Client c = new Client(gateway);
        c.id = c.greeted();
        c.write(login());
        if (c.packet()[0] != 0) {
            throw new IOException("login refused");
        }
        return c;
    }

    int id;

    public static byte[] login() {
        ByteArrayOutputStream o = new ByteArrayOutputStream();
        int caps = 0x200 | 0x8 | 0x8000 | 0x80000;
        o.writeBytes(new byte[] {(byte) caps, (byte) (caps >> 8), (byte) (caps >> 16), 0, 0, 0, 0, 1, 45});
        o.writeBytes(new byte[23]);
        o.writeBytes("app\0\0core\0mysql_native_password\0".getBytes(StandardCharsets.US_ASCII));
        return packet(1, o.toByteArray());
    }

    public static byte[] packet(int seq, byte[] payload) {
        byte[] b = new byte[payload.length + 4];
        for (int i = 0; i < 3; i++) {
            b[i] = (byte) (payload.length >> 8 * i);
        }
        b[3] = (byte) seq;
        System.arraycopy(payload, 0, b, 4, payload.length);
        return b;
    }

    static byte[] command(int command, String text) {
        return packet(0, ((char) command + text).getBytes(StandardCharsets.ISO_8859_1));
    }

    public static byte[] query(String text) {
        return command(3, text);
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Writes a packet again and again until no more is taken, or so many bytes were; returns how many. */
    int writeUntilStuck(byte[] packet, int most) throws IOException, InterruptedException {
        AtomicInteger written = new AtomicInteger();
        byte[] many = new byte[packet.length * 4096];
        for (int i = 0; i < many.length; i++) {
            many[i] = packet[i % packet.length];
        }
        ScriptedEngine.daemon(() -> {
            try {
                for (; written.get() < most; written.addAndGet(many.length)) {
                    write(many);
                }
            } catch (IOException e) {
                // the test is over
            }
        });
        int before = -1;
        while (written.get() < most && written.get() != before) {
            before = written.get();
            for (int i = 0; i < 100 && written.get() == before; i++) {
                TimeUnit.MILLISECONDS.sleep(10); // stuck: for a whole second nothing is taken
            }
        }
        return written.get();
    }

    int greeted() throws IOException {
        byte[] p = packet();
        int at = 1;
        while (p[at] != 0) {
            at++;
        }
        return p[at + 1] & 0xFF | (p[at + 2] & 0xFF) << 8;
    }

    byte[] packet() throws IOException {
        byte[] head = new byte[4];
        in.readFully(head);
        byte[] payload = new byte[head[0] & 0xFF | (head[1] & 0xFF) << 8 | (head[2] & 0xFF) << 16];
        in.readFully(payload);
        return payload;
    }

    /** Empty for a greeting, else the error. */
    String answerOrGreeting() throws IOException {
        byte[] p = packet();
        return (p[0] & 0xFF) == ERR ? error(p) : "";
    }

    private static String error(byte[] p) {
        return (p[1] & 0xFF | (p[2] & 0xFF) << 8) + " " + new String(p, 9, p.length - 9, StandardCharsets.UTF_8);
    }

    /** One answer: "ok", "1203 text" for an error, or the rows as "a|b|c" joined by a slash. */
    String answer() throws IOException {
        byte[] p = packet();
        if (p[0] == 0) {
            return "ok";
        }
        if ((p[0] & 0xFF) == ERR) {
            return error(p);
        }
        for (int columns = p[0]; columns >= 0; columns--) { // their definitions, and an EOF
            packet();
        }
        List<String> rows = new ArrayList<>();
        for (p = packet(); !((p[0] & 0xFF) == EOF && p.length == 5); p = packet()) {
            List<String> cells = new ArrayList<>();
            for (int at = 0; at < p.length; at += (p[at] & 0xFF) + 1) {
                cells.add(new String(p, at + 1, p[at] & 0xFF, StandardCharsets.ISO_8859_1));
            }
            rows.add(String.join("|", cells));
        }
        return String.join("/", rows);
    }

    String ask(String text) throws IOException {
        write(query(text));
        return answer();
    }

    boolean isEnded() throws IOException {
        return in.read() < 0;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
