package sandpaddle.engineclient;

import sandpaddle.codec.HttpHeaders;

/**
 * A complete response of an engine.
 *
 * @param status the status code
 * @param headers its headers
 * @param body its body, empty if it has none
 * @param keepAlive whether the engine leaves the connection open
 * @param excess what was received behind it
 */
record Response(int status, HttpHeaders headers, byte[] body, boolean keepAlive, Excess excess) {
    /** What was received behind a response although no further call was made. */
    enum Excess {
        NOTHING,
        /** The head of another response: the stated length of this one is right. */
        ANOTHER_RESPONSE,
        /** Other bytes: they may belong to this response, whose stated length is then too short. */
        OTHER_BYTES
    }

    /** This response with what was received behind it. */
    Response withExcess(Excess behind) {
        return new Response(status, headers, body, keepAlive, behind);
    }

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
