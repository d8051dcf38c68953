package sandpaddle.mysql;

/** What a client logs in with: the response to the handshake of protocol 4.1. */
record Login(String user, boolean passwordEmpty, String database) {
    private static final int CAPABILITY_BYTES = 4;
    private static final int USER_AT = 32; // after capabilities, packet size, character set and filler

    static Login parse(byte[] payload) throws ProtocolException {
        PayloadReader in = new PayloadReader(payload);
        int capabilities = (int) in.integer(CAPABILITY_BYTES);
        if ((capabilities & Messages.PROTOCOL_41) == 0) {
            throw new ProtocolException(SqlError.ER_HANDSHAKE_ERROR, "login without protocol 4.1");
        }
        in.skip(USER_AT - CAPABILITY_BYTES);
        String user = PayloadReader.text(in.zeroEnded());
        byte[] password = password(in, capabilities);
        boolean empty = password.length == 0 || password.length == 1 && password[0] == 0;
        boolean named = (capabilities & Messages.CONNECT_WITH_DB) != 0;
        return new Login(user, empty, named ? PayloadReader.text(in.untilZero()) : "");
    }

    /** In the form that the capabilities announce. One that ends before it has no password. */
    private static byte[] password(PayloadReader in, int capabilities) throws ProtocolException {
        if (!in.hasRemaining()) {
            return new byte[0];
        }
        if ((capabilities & Messages.PLUGIN_AUTH_LENENC) != 0) {
            return in.bytes(in.lengthEncoded());
        }
        if ((capabilities & Messages.SECURE_CONNECTION) != 0) {
            return in.bytes(in.integer(1));
        }
        byte[] password = in.untilZero();
        if (in.hasRemaining()) {
            in.skip(1);
        }
        return password;
    }
}
