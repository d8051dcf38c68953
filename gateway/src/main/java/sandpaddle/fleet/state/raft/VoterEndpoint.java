package sandpaddle.fleet.state.raft;

import io.microraft.RaftEndpoint;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * The identity of a voter: the gateway's name and a number that is incremented each time its disk was lost or restored
 * from a copy. A voter that lost its record of votes may have voted in its term already, so it never votes under that
 * number again. Written as {@code name#number}.
 *
 * @param name name of the gateway, without {@code #}
 * @param number from 1 to {@value #MAX_NUMBER}
 */
public record VoterEndpoint(String name, int number) implements RaftEndpoint {
    /** Max length of a name, in bytes of UTF-8. */
    public static final int MAX_NAME_BYTES = 200;
    /** Max number; no gateway loses its disk that often, so a higher number is a fault. */
    public static final int MAX_NUMBER = 1_000_000;

    private static final int MAX_BYTES = MAX_NAME_BYTES + 8;

    /** Checks the name and the number. */
    public VoterEndpoint {
        if (name.isEmpty() || name.length() > MAX_NAME_BYTES || name.indexOf('#') >= 0) {
            throw new IllegalArgumentException(
                    "endpoint name \"" + name + "\" is empty, longer than " + MAX_NAME_BYTES + " bytes or has a #");
        }
        if (number < 1 || number > MAX_NUMBER) {
            throw new IllegalArgumentException("endpoint number " + number + " is not from 1 to " + MAX_NUMBER);
        }
    }

    @Override
    public Object getId() {
        return toString();
    }

    @Override
    public String toString() {
        return name + "#" + number;
    }

    /**
     * Parses {@code name#number}.
     *
     * @throws IllegalArgumentException if it is not an endpoint
     */
    public static VoterEndpoint parse(String id) {
        int separator = id.lastIndexOf('#');
        if (separator < 0) {
            throw new IllegalArgumentException("endpoint \"" + id + "\" has no #number");
        }
        try {
            return new VoterEndpoint(id.substring(0, separator), Integer.parseInt(id.substring(separator + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("endpoint \"" + id + "\" has no whole number after #", e);
        }
    }

    /**
     * Reads an endpoint from a message.
     *
     * @throws FaultyMessageException if it is not an endpoint
     */
    public static VoterEndpoint read(CborIn in) throws FaultyMessageException {
        String id = in.text(MAX_BYTES);
        try {
            return parse(id);
        } catch (IllegalArgumentException e) {
            throw in.wrong("is not an endpoint: " + e.getMessage());
        }
    }
}
