package sandpaddle.mysql;

/**
 * A client's login request: {@code HandshakeResponse41} of the MySQL client protocol.
 *
 * @param user the user name
 * @param passwordEmpty whether the client sent no password
 * @param database the initial database; empty if the client names none
 */
record Login(String user, boolean passwordEmpty, String database) {
    private static final int CAPABILITY_BYTES = 4;
    private static final int USER_OFFSET = 32; // after capabilities, maximum packet size, character set and filler

    /** Parses the payload of a login packet. */
    static Login parse(byte[] payload) throws ProtocolException {
        PayloadReader reader = new PayloadReader(payload);
        int capabilities = (int) reader.integer(CAPABILITY_BYTES);
        if ((capabilities & ServerPackets.CLIENT_PROTOCOL_41) == 0) {
            throw new ProtocolException(SqlError.ER_HANDSHAKE_ERROR, "login without protocol 4.1");
        }
        reader.skip(USER_OFFSET - CAPABILITY_BYTES);
        String user = PayloadReader.utf8(reader.nullTerminated());
        byte[] password = readPassword(reader, capabilities);
        boolean isPasswordEmpty = password.length == 0 || password.length == 1 && password[0] == 0;
        boolean hasDatabase = (capabilities & ServerPackets.CLIENT_CONNECT_WITH_DB) != 0;
        return new Login(user, isPasswordEmpty, hasDatabase ? PayloadReader.utf8(reader.untilNull()) : "");
    }

    /** Reads the password in the encoding that the capabilities select; empty if the payload ends before it. */
    private static byte[] readPassword(PayloadReader reader, int capabilities) throws ProtocolException {
        if (!reader.hasRemaining()) {
            return new byte[0];
        }
        if ((capabilities & ServerPackets.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA) != 0) {
            return reader.bytes(reader.lengthEncodedInteger());
        }
        if ((capabilities & ServerPackets.CLIENT_SECURE_CONNECTION) != 0) {
            return reader.bytes(reader.integer(1));
        }
        byte[] password = reader.untilNull();
        if (reader.hasRemaining()) {
            reader.skip(1);
        }
        return password;
    }
}
