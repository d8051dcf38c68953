package sandpaddle.lab;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;

/**
 * One session of the MySQL client protocol 4.1, with one command at a time. Implemented independently of the gateway's
 * protocol code, so that it does not share its faults.
 */
final class ClientSession implements Connection.Listener {
    /**
     * Receives the outcome of a command. Exactly one of {@link #onRows}, {@link #onError} and {@link #onConnectionLost}
     * is called, once; {@link #onUnexpectedResponse} may follow at any time.
     */
    interface ResponseListener {
        /**
         * The result set is complete.
         *
         * @param rows number of rows
         */
        void onRows(int rows);

        /**
         * Called just before {@link #onRows}.
         *
         * @param warnings warning count of the final EOF packet
         * @param firstRow values of the first row, separated by spaces
         */
        default void onMetadata(int warnings, String firstRow) {}

        /** The server answered with an error before any row. */
        void onError(int code, String text);

        /**
         * The connection was closed before a complete response.
         *
         * @param established whether the server's handshake packet had arrived, so that the command may have been read
         */
        void onConnectionLost(boolean established);

        /** A response arrived that belongs to no command. */
        default void onUnexpectedResponse() {}
    }

    private static final int ERR = 0xFF;
    private static final int EOF = 0xFE;
    private static final int EOF_PACKET_LENGTH = 5;
    private static final int MAX_ONE_BYTE_LENGTH = 251; // lengths below this are encoded in one byte

    private enum State {
        GREETING,
        LOGIN,
        IDLE,
        ANSWER,
        COLUMNS,
        ROWS
    }

    private final Connection connection;
    private byte[] buffer = new byte[0];
    private State state = State.GREETING;
    private ResponseListener listener;
    private byte[] pendingCommand; // sent once the login is complete
    private int id, columns, rows;
    private String firstRow = "";
    private boolean closed;

    ClientSession(EventLoop loop, InetSocketAddress gateway) throws IOException {
        connection = Connection.open(loop, EventLoop.HandlerPriority.CLIENT, gateway, this);
    }

    /** Connection ID from the handshake, for {@code KILL}; 0 before the handshake. */
    int id() {
        return id;
    }

    boolean isClosed() {
        return closed;
    }

    void send(String text, ResponseListener responseListener) {
        listener = responseListener;
        rows = 0;
        firstRow = "";
        byte[] command = packet(0, ("\3" + text).getBytes(StandardCharsets.ISO_8859_1));
        if (state == State.IDLE) {
            state = State.ANSWER;
            connection.write(command);
        } else {
            pendingCommand = command;
        }
    }

    void close() {
        closed = true;
        connection.close();
    }

    private static byte[] packet(int seq, byte[] payload) {
        byte[] b = new byte[payload.length + 4];
        b[0] = (byte) payload.length;
        b[1] = (byte) (payload.length >> 8);
        b[2] = (byte) (payload.length >> 16);
        b[3] = (byte) seq;
        System.arraycopy(payload, 0, b, 4, payload.length);
        return b;
    }

    private static byte[] login() {
        ByteArrayOutputStream o = new ByteArrayOutputStream();
        int capabilities = 0x200 | 0x8 | 0x8000 | 0x80000;
        o.writeBytes(new byte[] {
            (byte) capabilities, (byte) (capabilities >> 8), (byte) (capabilities >> 16), 0, 0, 0, 0, 1, 45
        });
        o.writeBytes(new byte[23]);
        o.writeBytes("app\0\0core\0mysql_native_password\0".getBytes(StandardCharsets.US_ASCII));
        return packet(1, o.toByteArray());
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        int buffered = buffer.length;
        buffer = Arrays.copyOf(buffer, buffered + bytes.remaining());
        bytes.get(buffer, buffered, buffer.length - buffered);
        int from = 0;
        while (!closed && buffer.length - from >= 4) {
            int length = buffer[from] & 0xFF | (buffer[from + 1] & 0xFF) << 8 | (buffer[from + 2] & 0xFF) << 16;
            if (buffer.length - from < 4 + length) {
                break;
            }
            byte[] payload = Arrays.copyOfRange(buffer, from + 4, from + 4 + length);
            from += 4 + length;
            packet(payload);
        }
        buffer = Arrays.copyOfRange(buffer, from, buffer.length);
    }

    private void packet(byte[] payload) {
        int first = payload.length == 0 ? 0 : payload[0] & 0xFF;
        if (first == ERR && state != State.IDLE) {
            boolean refused = state == State.GREETING || state == State.LOGIN;
            state = State.IDLE;
            ResponseListener to = takeListener();
            if (refused) {
                close();
            }
            int textAt = payload.length > 3 && payload[3] == '#' ? 9 : 3;
            if (to != null) {
                to.onError(
                        payload[1] & 0xFF | (payload[2] & 0xFF) << 8,
                        new String(payload, textAt, payload.length - textAt, StandardCharsets.UTF_8));
            }
            return;
        }
        boolean eof = first == EOF && payload.length == EOF_PACKET_LENGTH;
        switch (state) {
            case GREETING -> handshakeReceived(payload);
            case LOGIN -> {
                state = State.IDLE;
                if (pendingCommand != null) {
                    byte[] command = pendingCommand;
                    pendingCommand = null;
                    state = State.ANSWER;
                    connection.write(command);
                }
            }
            case ANSWER -> {
                if (first == 0) {
                    served(0);
                } else {
                    columns = first;
                    state = State.COLUMNS;
                }
            }
            case COLUMNS -> state = eof ? State.ROWS : State.COLUMNS;
            case ROWS -> {
                if (eof) {
                    served(payload[1] & 0xFF | (payload[2] & 0xFF) << 8);
                } else {
                    firstRow = rows == 0 ? rowText(payload) : firstRow;
                    rows++;
                }
            }
            default -> {
                if (listener != null) {
                    listener.onUnexpectedResponse();
                }
            }
        }
    }

    private void handshakeReceived(byte[] payload) {
        int i = 1;
        while (payload[i] != 0) {
            i++;
        }
        id = payload[i + 1] & 0xFF
                | (payload[i + 2] & 0xFF) << 8
                | (payload[i + 3] & 0xFF) << 16
                | (payload[i + 4] & 0xFF) << 24;
        state = State.LOGIN;
        connection.write(login());
    }

    private void served(int warnings) {
        state = State.IDLE;
        listener.onMetadata(warnings, firstRow);
        takeListener().onRows(rows);
    }

    /** Returns a row's values separated by spaces; stops at a value of 251 bytes or more. */
    private static String rowText(byte[] payload) {
        StringBuilder s = new StringBuilder();
        for (int i = 0; i < payload.length; ) {
            int length = payload[i++] & 0xFF;
            if (length >= MAX_ONE_BYTE_LENGTH || i + length > payload.length) {
                break;
            }
            s.append(s.length() == 0 ? "" : " ").append(new String(payload, i, length, StandardCharsets.UTF_8));
            i += length;
        }
        return s.toString();
    }

    /** Returns the current listener and keeps it for unexpected responses. */
    private ResponseListener takeListener() {
        ResponseListener a = listener;
        listener = a == null ? null : new AnsweredListener(a);
        return a;
    }

    /** Passes on only unexpected responses, after the command has been answered. */
    private record AnsweredListener(ResponseListener answered) implements ResponseListener {
        @Override
        public void onRows(int rows) {
            answered.onUnexpectedResponse();
        }

        @Override
        public void onError(int code, String text) {
            answered.onUnexpectedResponse();
        }

        @Override
        public void onConnectionLost(boolean established) {
            // the command was already answered
        }

        @Override
        public void onUnexpectedResponse() {
            answered.onUnexpectedResponse();
        }
    }

    @Override
    public void onClosed(Exception cause) {
        closed = true;
        ResponseListener a = listener;
        listener = null;
        if (a != null) {
            a.onConnectionLost(state != State.GREETING);
        }
    }
}
