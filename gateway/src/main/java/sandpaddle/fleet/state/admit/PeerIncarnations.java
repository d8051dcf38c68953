package sandpaddle.fleet.state.admit;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * The incarnations of the other voters that this one has accepted, so that a disk that lost data cannot vote twice. The
 * safety of Raft relies on voters that never forget a vote or an acknowledged entry; an empty disk, or a restored copy,
 * breaks that silently. So each opening of a store draws a random incarnation and retains the former ones. A join
 * request has them, and a peer refuses it if it accepted an incarnation that the disk does not have, or received
 * acknowledgements beyond the end of the disk's log. One such peer is enough to refuse; a refused voter returns under a
 * new number.
 *
 * <p>Owned by the consensus thread. Bound: {@value #MAX_NAMES} names.
 */
public class PeerIncarnations {
    /** Max number of names; the one that was updated least recently is evicted for a new one. */
    public static final int MAX_NAMES = 64;

    /** The newest accepted endpoint of a name, its highest known term, and its highest known index in that term. */
    private record PeerRecord(int number, long incarnation, int term, long index) {}

    private final Map<String, PeerRecord> peers = new LinkedHashMap<>();

    /**
     * The refusal of a join request.
     *
     * @param reason why the endpoint may not take part
     * @param highestNumber the highest known number of its name
     */
    public record JoinRefusal(String reason, int highestNumber) {}

    /** Checks a join request. If it is accepted, its incarnation replaces the former one, which must then be stored. */
    public Optional<JoinRefusal> check(JoinRequest request) {
        PeerRecord peer = peers.get(request.endpoint().name());
        String reason = peer == null ? "" : refusalReason(peer, request);
        if (!reason.isEmpty()) {
            return Optional.of(new JoinRefusal(reason, peer.number()));
        }
        if (peer == null
                || peer.number() != request.endpoint().number()
                || peer.incarnation() != request.incarnation()) {
            accept(request);
        }
        return Optional.empty();
    }

    /** Accepts the incarnation of a request in place of the former one. */
    protected final void accept(JoinRequest request) {
        save(
                request.endpoint().name(),
                new PeerRecord(
                        request.endpoint().number(), request.incarnation(), request.term(), request.lastIndex()));
    }

    private static String refusalReason(PeerRecord peer, JoinRequest request) {
        if (peer.number() > request.endpoint().number()) {
            return "the name votes as number " + peer.number() + " since";
        }
        if (peer.number() < request.endpoint().number() || peer.incarnation() == request.incarnation()) {
            return "";
        }
        if (!request.formerIncarnations().contains(peer.incarnation())) {
            return "its disk does not know of a life that was met: it is empty or an old copy";
        }
        if (request.term() < peer.term() || request.term() == peer.term() && request.lastIndex() < peer.index()) {
            return "its disk ends at term " + request.term() + " and entry " + request.lastIndex()
                    + ", but it told term " + peer.term() + " and entry " + peer.index() + ": it is an old copy";
        }
        return "";
    }

    /** Whether messages of this incarnation of an endpoint may be delivered. */
    public boolean admits(VoterEndpoint endpoint, long incarnation) {
        PeerRecord peer = peers.get(endpoint.name());
        return peer != null && peer.number() == endpoint.number() && peer.incarnation() == incarnation;
    }

    /** Whether this endpoint was ever accepted here. */
    public boolean hasAccepted(VoterEndpoint endpoint) {
        PeerRecord peer = peers.get(endpoint.name());
        return peer != null && peer.number() == endpoint.number();
    }

    /**
     * Records the term of an accepted endpoint, and the index up to which it acknowledged entries; 0 if unknown. Within
     * a term a voter's log only grows, so a disk with a shorter log has lost data.
     *
     * @return whether the term is new, so that the record should be stored
     */
    public boolean recordProgress(VoterEndpoint endpoint, int term, long index) {
        PeerRecord peer = peers.get(endpoint.name());
        if (peer == null || peer.number() != endpoint.number() || term < peer.term()) {
            return false;
        }
        boolean isNew = term > peer.term();
        save(
                endpoint.name(),
                new PeerRecord(peer.number(), peer.incarnation(), term, isNew ? index : Math.max(index, peer.index())));
        return isNew;
    }

    private void save(String name, PeerRecord peer) {
        peers.remove(name); // so that it is inserted as the newest
        if (peers.size() >= MAX_NAMES) {
            peers.remove(peers.keySet().iterator().next());
        }
        peers.put(name, peer);
    }

    /** Encodes all records as CBOR. */
    public byte[] write() {
        return new CborOut()
                .list(
                        peers.entrySet(),
                        (out, entry) -> out.text(entry.getKey())
                                .number(entry.getValue().number())
                                .number(entry.getValue().incarnation())
                                .number(entry.getValue().term())
                                .number(entry.getValue().index()))
                .done();
    }

    /**
     * Decodes what {@link #write} encoded.
     *
     * @throws FaultyMessageException if the bytes are malformed
     */
    public static PeerIncarnations read(byte[] stored) throws FaultyMessageException {
        PeerIncarnations peerIncarnations = new PeerIncarnations();
        CborIn in = new CborIn(stored);
        List<Boolean> all = in.list(MAX_NAMES, item -> {
            String name = item.text(VoterEndpoint.MAX_NAME_BYTES);
            peerIncarnations.peers.put(
                    name,
                    new PeerRecord(
                            (int) item.number(1, VoterEndpoint.MAX_NUMBER),
                            item.number(Long.MIN_VALUE, Long.MAX_VALUE),
                            (int) item.number(0, Integer.MAX_VALUE),
                            item.number(0, Long.MAX_VALUE)));
            return true;
        });
        in.end();
        if (all.size() != peerIncarnations.peers.size()) {
            throw in.wrong("ends a list that repeats a name");
        }
        return peerIncarnations;
    }
}
