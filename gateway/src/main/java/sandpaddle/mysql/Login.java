package sandpaddle.mysql;

import java.nio.charset.StandardCharsets;

/** What a client logs in with. */
record Login(String user, boolean passwordEmpty, String database) {
    private static final int USER_AT = 32; // after capabilities, packet size, character set and filler

    static Login parse(byte[] b) throws ProtocolException {
        if (b.length < USER_AT + 2) {
            throw new ProtocolException(SqlError.ER_HANDSHAKE_ERROR, "login too short");
        }
        int caps = b[0] & 0xFF | (b[1] & 0xFF) << 8 | (b[2] & 0xFF) << 16 | (b[3] & 0xFF) << 24;
        if ((caps & Messages.PROTOCOL_41) == 0) {
            throw new ProtocolException(SqlError.ER_HANDSHAKE_ERROR, "login without protocol 4.1");
        }
        int userEnd = zero(b, USER_AT);
        int authAt = userEnd + 1;
        int authEnd;
        if ((caps & (Messages.SECURE_CONNECTION | Messages.PLUGIN_AUTH_LENENC)) != 0) {
            int length = authAt < b.length ? b[authAt++] & 0xFF : 0; // one byte in both forms, for any length in use
            authEnd = authAt + length;
        } else {
            authEnd = zero(b, authAt);
        }
        if (authAt > b.length || authEnd > b.length) {
            throw new ProtocolException(SqlError.ER_HANDSHAKE_ERROR, "login cut short");
        }
        boolean empty = authEnd <= authAt || authEnd == authAt + 1 && b[authAt] == 0;
        int dbAt = (caps & (Messages.SECURE_CONNECTION | Messages.PLUGIN_AUTH_LENENC)) != 0 ? authEnd : authEnd + 1;
        String db = "";
        if ((caps & Messages.CONNECT_WITH_DB) != 0 && dbAt < b.length) {
            db = text(b, dbAt, zero(b, dbAt));
        }
        return new Login(text(b, USER_AT, userEnd), empty, db);
    }

    private static int zero(byte[] b, int from) {
        int i = from;
        while (i < b.length && b[i] != 0) {
            i++;
        }
        return i;
    }

    private static String text(byte[] b, int from, int to) {
        return new String(b, from, to - from, StandardCharsets.UTF_8);
    }
}
