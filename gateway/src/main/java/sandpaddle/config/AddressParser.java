package sandpaddle.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses socket addresses such as {@code 10.0.0.4:8080} or {@code [::1]:8080}. Literals only: there is no DNS. */
final class AddressParser {
    private static final Pattern LITERAL =
            Pattern.compile("(\\d+\\.\\d+\\.\\d+\\.\\d+|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65535;
    private static final String PROBLEM = "is no address of the form 10.0.0.4:8080";

    private AddressParser() {}

    static InetSocketAddress read(JsonObject object, String field) throws InvalidFieldException {
        Matcher matcher = LITERAL.matcher(object.string(field));
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            throw object.invalidField(field, PROBLEM);
        }
        try {
            InetAddress host = InetAddress.getByName(matcher.group(1));
            return new InetSocketAddress(host, Integer.parseInt(matcher.group(2)));
        } catch (UnknownHostException e) {
            throw object.invalidField(field, PROBLEM);
        }
    }
}
