package sandpaddle.mysql;

/** The server errors that the gateway sends, under MySQL's names, with MySQL's codes and SQL states. */
enum SqlError {
    /** Too many connections, or rejected during a retry storm; the text may contain {@code pause=MS}. */
    ER_CON_COUNT_ERROR(1040, "08004"),
    /** A login that cannot be read. */
    ER_HANDSHAKE_ERROR(1043, "08S01"),
    /** Unknown user, or a password where none is expected. */
    ER_ACCESS_DENIED_ERROR(1045, "28000"),
    /** Unknown database. */
    ER_BAD_DB_ERROR(1049, "42000"),
    /** A command that the gateway does not support. */
    ER_UNKNOWN_COM_ERROR(1047, "08S01"),
    /** A query whose fields are missing or invalid. */
    ER_PARSE_ERROR(1064, "42000"),
    /** KILL of a connection that does not exist. */
    ER_NO_SUCH_THREAD(1094, "HY000"),
    /** A failed query, or a ping before the first endpoint list. */
    ER_UNKNOWN_ERROR(1105, "HY000"),
    /** A packet, or input sent ahead of an answer, over its limit. */
    ER_NET_PACKET_TOO_LARGE(1153, "08S01"),
    /** A timeout of the session expired, see {@link SessionTimeouts}. */
    ER_NET_READ_INTERRUPTED(1159, "08S01"),
    /** A packet that does not start a command. */
    ER_NET_PACKETS_OUT_OF_ORDER(1156, "08S01"),
    /** A rejected query; the text may contain {@code pause=MS}, its Retry-After. */
    ER_TOO_MANY_USER_CONNECTIONS(1203, "42000"),
    /** A query that KILL QUERY ended. */
    ER_QUERY_INTERRUPTED(1317, "70100");

    /** MySQL's error number. */
    final int code;
    /** The SQLSTATE, five characters. */
    final String state;

    SqlError(int code, String state) {
        this.code = code;
        this.state = state;
    }
}
