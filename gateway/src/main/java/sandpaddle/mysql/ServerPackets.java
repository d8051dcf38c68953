package sandpaddle.mysql;

import java.nio.charset.StandardCharsets;
import java.util.List;
import sandpaddle.query.Answer;
import sandpaddle.query.ResultSet;

/** Encodes the packets that a server of the MySQL client protocol 4.1 sends. */
final class ServerPackets {
    static final int CLIENT_PROTOCOL_41 = 0x200;
    static final int CLIENT_CONNECT_WITH_DB = 0x8;
    static final int CLIENT_SECURE_CONNECTION = 0x8000;
    static final int CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA = 0x200000;
    private static final int CLIENT_PLUGIN_AUTH = 0x80000;
    private static final int CLIENT_LONG_PASSWORD = 0x1;
    private static final int CLIENT_LONG_FLAG = 0x4;
    private static final int CLIENT_TRANSACTIONS = 0x2000;
    private static final int SERVER_CAPABILITIES = CLIENT_LONG_PASSWORD
            | CLIENT_LONG_FLAG
            | CLIENT_CONNECT_WITH_DB
            | CLIENT_PROTOCOL_41
            | CLIENT_TRANSACTIONS
            | CLIENT_SECURE_CONNECTION
            | CLIENT_PLUGIN_AUTH
            | CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA;
    private static final int PROTOCOL_VERSION = 10;
    private static final int UTF8MB4_GENERAL_CI = 45;
    private static final int SERVER_STATUS_AUTOCOMMIT = 2;
    private static final int MYSQL_TYPE_VAR_STRING = 0xFD;
    private static final int EOF_HEADER = 0xFE;
    private static final int ERR_HEADER = 0xFF;
    private static final int FIXED_LENGTH_FIELDS_BYTES = 0x0C; // stated in a column definition
    private static final int MAX_CELL_BYTES = 65535;
    private static final int SCRAMBLE_PART_1_BYTES = 8;

    private ServerPackets() {}

    /** {@code HandshakeV10}; the scramble (nonce of the authentication) has 20 bytes, none of them zero. */
    static byte[] handshake(int connectionId, byte[] scramble) {
        PacketWriter writer = new PacketWriter(0, 128)
                .integer(PROTOCOL_VERSION, 1)
                .nullTerminated("8.0.0-sandpaddle")
                .integer(connectionId, 4)
                .raw(java.util.Arrays.copyOf(scramble, SCRAMBLE_PART_1_BYTES))
                .integer(0, 1);
        writer.integer(SERVER_CAPABILITIES & 0xFFFF, 2)
                .integer(UTF8MB4_GENERAL_CI, 1)
                .integer(SERVER_STATUS_AUTOCOMMIT, 2)
                .integer(SERVER_CAPABILITIES >>> 16, 2)
                .integer(scramble.length + 1, 1)
                .raw(new byte[10]);
        writer.raw(java.util.Arrays.copyOfRange(scramble, SCRAMBLE_PART_1_BYTES, scramble.length))
                .integer(0, 1);
        return writer.nullTerminated("mysql_native_password").endPacket().bytes();
    }

    /** An OK packet without affected rows. */
    static byte[] ok(int sequenceId) {
        return new PacketWriter(sequenceId, 16)
                .integer(0, 1)
                .lengthEncodedInteger(0)
                .lengthEncodedInteger(0)
                .integer(SERVER_STATUS_AUTOCOMMIT, 2)
                .integer(0, 2)
                .endPacket()
                .bytes();
    }

    /** An ERR packet. */
    static byte[] error(int sequenceId, SqlError error, String text) {
        return new PacketWriter(sequenceId, 64)
                .integer(ERR_HEADER, 1)
                .integer(error.code, 2)
                .raw(("#" + error.state + text).getBytes(StandardCharsets.UTF_8))
                .endPacket()
                .bytes();
    }

    /** The packets of the final answer to a query. */
    static byte[] answer(Answer answer) {
        if (answer instanceof Answer.Served served) {
            return resultSet(1, served.rows(), served.note().isEmpty() ? 0 : 1);
        } else if (answer instanceof Answer.Rejected rejected) {
            return error(
                    1,
                    SqlError.ER_TOO_MANY_USER_CONNECTIONS,
                    rejected.retryAfter().isZero()
                            ? "refused"
                            : "refused, pause=" + rejected.retryAfter().toMillis());
        } else if (answer instanceof Answer.Failed failed) {
            return error(1, SqlError.ER_UNKNOWN_ERROR, "failed: " + failed.reason());
        }
        return error(1, SqlError.ER_PARSE_ERROR, ((Answer.Invalid) answer).reason());
    }

    /** The answer to SHOW WARNINGS: one row with the note on the last result; no row if the note is empty. */
    static byte[] warnings(String note) {
        String row =
                note.isEmpty() ? "" : "Note\t1105\t" + note.replace('\t', ' ').replace('\n', ' ') + "\n";
        return resultSet(
                1, new ResultSet(List.of(row.getBytes(StandardCharsets.UTF_8))), 0, "Level", "Code", "Message");
    }

    /**
     * A text result set: column definitions, then rows.
     *
     * @param warnings the number of warnings in both EOF packets
     * @param names names of the first columns; the others are named by their number
     */
    static byte[] resultSet(int sequenceId, ResultSet rows, int warnings, String... names) {
        int size = rows.pages().stream().mapToInt(page -> page.length).sum();
        PacketWriter writer = new PacketWriter(sequenceId, size + size / 8 + 256)
                .lengthEncodedInteger(ResultSet.COLUMNS)
                .endPacket();
        for (int i = 1; i <= ResultSet.COLUMNS; i++) {
            writer.lengthEncodedString("def")
                    .lengthEncodedString("")
                    .lengthEncodedString("")
                    .lengthEncodedString("")
                    .lengthEncodedString(names.length < i ? "c" + i : names[i - 1])
                    .lengthEncodedString("")
                    .integer(FIXED_LENGTH_FIELDS_BYTES, 1)
                    .integer(UTF8MB4_GENERAL_CI, 2)
                    .integer(MAX_CELL_BYTES, 4)
                    .integer(MYSQL_TYPE_VAR_STRING, 1)
                    .integer(0, 2)
                    .integer(0, 1)
                    .integer(0, 2)
                    .endPacket();
        }
        eof(writer, warnings);
        for (byte[] page : rows.pages()) {
            int from = 0;
            for (int i = 0; i < page.length; i++) {
                if (page[i] == '\t' || page[i] == '\n') {
                    writer.lengthEncodedBytes(page, from, i - from);
                    from = i + 1;
                }
                if (page[i] == '\n') {
                    writer.endPacket();
                }
            }
        }
        return eof(writer, warnings).bytes();
    }

    private static PacketWriter eof(PacketWriter writer, int warnings) {
        return writer.integer(EOF_HEADER, 1)
                .integer(warnings, 2)
                .integer(SERVER_STATUS_AUTOCOMMIT, 2)
                .endPacket();
    }
}
