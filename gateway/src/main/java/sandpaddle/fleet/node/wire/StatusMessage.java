package sandpaddle.fleet.node.wire;

import java.util.List;
import sandpaddle.fleet.member.MemberName;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.state.machine.VersionedDocuments;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * A voter's status, which it sends to all linked gateways.
 *
 * @param term current term of the voter
 * @param leader name of the leader, empty if unknown to the voter
 * @param voters names of the voters
 * @param configVersion version of the configuration in force
 * @param configText the encoded configuration, empty if the receiver has this version already
 */
public record StatusMessage(long term, String leader, List<String> voters, long configVersion, String configText) {
    private static final int MAX_VOTERS = 16;

    /** Encodes the message as CBOR. */
    public byte[] encode() {
        return new CborOut()
                .number(term)
                .text(leader)
                .list(voters, CborOut::text)
                .number(configVersion)
                .text(configText)
                .done();
    }

    /**
     * Decodes a status.
     *
     * @throws FaultyMessageException if the bytes are not exactly one valid status
     */
    public static StatusMessage decode(byte[] bytes) throws FaultyMessageException {
        CborIn in = new CborIn(bytes);
        StatusMessage status = new StatusMessage(
                in.number(0, Long.MAX_VALUE),
                in.text(MemberName.MAX_CHARS),
                in.list(MAX_VOTERS, input -> input.text(MemberName.MAX_CHARS)),
                in.number(0, Long.MAX_VALUE),
                in.text(VersionedDocuments.MAX_TEXT_BYTES));
        in.end();
        return status;
    }

    /**
     * The configuration in force.
     *
     * @throws FaultyMessageException if {@link #configText} is empty or invalid
     */
    public FleetConfig config() throws FaultyMessageException {
        return FleetConfig.parse(configText);
    }
}
