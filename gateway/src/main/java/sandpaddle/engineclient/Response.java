package sandpaddle.engineclient;

import sandpaddle.codec.HttpHeaders;

/**
 * A complete response of an engine.
 *
 * @param status the status code
 * @param headers its headers
 * @param body its body, empty if it has none
 * @param keepAlive whether the engine leaves the connection open
 */
record Response(int status, HttpHeaders headers, byte[] body, boolean keepAlive) {
    /** The value of a header by its name in lower case; null if it is absent. */
    String header(String name) {
        return headers.get(name);
    }

    /** The value of an integer header; {@code fallback} if it is absent, -1 if it is malformed or too large. */
    int number(String name, int fallback) {
        long number = headers.number(name, fallback);
        return number > Integer.MAX_VALUE ? -1 : (int) number;
    }
}
