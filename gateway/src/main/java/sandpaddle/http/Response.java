package sandpaddle.http;

import java.util.Map;
import java.util.regex.Pattern;

/** A whole answer; the names of headers are in lower case. */
record Response(int status, Map<String, String> headers, byte[] body, boolean keepAlive) {
    private static final Pattern NUMBER = Pattern.compile("\\d{1,9}");

    String header(String name) {
        return headers.get(name);
    }

    /** A header that is a whole number; {@code otherwise} where it is absent, -1 where it is no number. */
    int number(String name, int otherwise) {
        String text = headers.get(name);
        if (text == null) {
            return otherwise;
        }
        return NUMBER.matcher(text).matches() ? Integer.parseInt(text) : -1;
    }
}
