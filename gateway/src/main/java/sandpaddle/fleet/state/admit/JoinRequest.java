package sandpaddle.fleet.state.admit;

import java.util.List;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * The request of a voter to take part in the consensus, sent to the other voters after each opening of its store.
 *
 * @param endpoint the endpoint that the voter takes part as
 * @param incarnation random number drawn at this opening of the store
 * @param formerIncarnations the former incarnations stored on the disk, the newest last; at most {@value #MAX_FORMER}
 * @param term the term stored on the disk
 * @param lastIndex index of the last log entry stored on the disk
 */
public record JoinRequest(
        VoterEndpoint endpoint, long incarnation, List<Long> formerIncarnations, int term, long lastIndex) {
    /**
     * Max number of former incarnations; a peer that missed more openings than that refuses the voter, which then gets
     * a new endpoint number.
     */
    public static final int MAX_FORMER = 64;

    /** Appends all fields but the endpoint and the incarnation, which are part of the message's envelope. */
    public void write(CborOut out) {
        out.list(formerIncarnations, CborOut::number).number(term).number(lastIndex);
    }

    /**
     * Decodes what {@link #write} appended.
     *
     * @throws FaultyMessageException if the request is malformed
     */
    public static JoinRequest read(VoterEndpoint endpoint, long incarnation, CborIn in) throws FaultyMessageException {
        return new JoinRequest(
                endpoint,
                incarnation,
                in.list(MAX_FORMER, item -> item.number(Long.MIN_VALUE, Long.MAX_VALUE)),
                (int) in.number(0, Integer.MAX_VALUE),
                in.number(0, Long.MAX_VALUE));
    }
}
