package sandpaddle.fleet.content.replication;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.content.CacheKey;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.content.ResultMetadata;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;

/** Encodes replication messages as CBOR: format version, number of the message type, values of the message. */
public final class ReplicationMessageCodec {
    /** Maximum length of a chunk in bytes; a message with one chunk stays below the 1 MiB of a frame. */
    public static final int MAX_CHUNK_BYTES = 256 * 1024;

    private static final int VERSION = 1;
    private static final int DEMAND = 1;
    private static final int OFFER = 2;
    private static final int CHUNK_REQUEST = 3;
    private static final int ACKNOWLEDGEMENT = 4;
    private static final int CHUNK = 5;
    private static final int RESULT_REQUEST = 6;
    private static final int NOT_FOUND = 7;
    private static final long MAX_NUMBER = Long.MAX_VALUE / 4;
    private static final long MAX_AGE_MS = 366L * 24 * 3_600_000;

    private ReplicationMessageCodec() {}

    /** Encodes a message. */
    public static byte[] write(ReplicationMessage message) {
        CborOut out = new CborOut().number(VERSION);
        if (message instanceof ReplicationMessage.Demand demand) {
            writeDemand(out.number(DEMAND), demand);
        } else if (message instanceof ReplicationMessage.Offer offer) {
            writeHeader(out, OFFER, offer.id())
                    .number(offer.requestedAtWallMs())
                    .number(offer.ageMs())
                    .number(offer.length())
                    .number(offer.crc32c());
        } else if (message instanceof ReplicationMessage.ChunkRequest request) {
            writeHeader(out, CHUNK_REQUEST, request.id())
                    .number(request.crc32c())
                    .number(request.offset())
                    .number(request.maxLength());
        } else if (message instanceof ReplicationMessage.Acknowledgement acknowledgement) {
            writeHeader(out, ACKNOWLEDGEMENT, acknowledgement.id());
        } else if (message instanceof ReplicationMessage.Chunk chunk) {
            writeHeader(out, CHUNK, chunk.id())
                    .number(chunk.crc32c())
                    .number(chunk.offset())
                    .bytes(chunk.bytes());
        } else if (message instanceof ReplicationMessage.ResultRequest request) {
            writeHeader(out, RESULT_REQUEST, request.id());
        } else if (message instanceof ReplicationMessage.NotFound notFound) {
            writeHeader(out, NOT_FOUND, notFound.id());
        }
        return out.done();
    }

    private static CborOut writeHeader(CborOut out, int type, ResultId id) {
        id.write(out.number(type));
        return out;
    }

    private static void writeDemand(CborOut out, ReplicationMessage.Demand demand) {
        Candidate candidate = demand.candidate();
        candidate.key().write(out);
        out.number(candidate.fingerprint())
                .list(new TreeSet<>(candidate.groups()), CborOut::number)
                .number(candidate.size())
                .number(candidate.workUs())
                .number(candidate.maxAgeMs())
                .real(candidate.priorityWeight())
                .real(demand.expectedRequests());
    }

    /** Decodes a message from an untrusted sender, with a check of every bound. */
    public static ReplicationMessage read(byte[] bytes) throws CborIn.FaultyMessageException {
        CborIn in = new CborIn(bytes);
        in.number(VERSION, VERSION);
        int type = (int) in.number(DEMAND, NOT_FOUND);
        ReplicationMessage message = type == DEMAND ? readDemand(in) : readById(in, type, ResultId.read(in));
        in.end();
        return message;
    }

    private static ReplicationMessage readById(CborIn in, int type, ResultId id) throws CborIn.FaultyMessageException {
        return switch (type) {
            case OFFER ->
                new ReplicationMessage.Offer(
                        id,
                        in.number(0, MAX_NUMBER),
                        in.number(0, MAX_AGE_MS),
                        (int) in.number(1, CachedResult.MAX_ENCODED_BYTES),
                        readCrc32c(in));
            case CHUNK_REQUEST ->
                new ReplicationMessage.ChunkRequest(
                        id, readCrc32c(in), (int) in.number(0, CachedResult.MAX_ENCODED_BYTES), (int)
                                in.number(1, MAX_CHUNK_BYTES));
            case ACKNOWLEDGEMENT -> new ReplicationMessage.Acknowledgement(id);
            case CHUNK ->
                new ReplicationMessage.Chunk(
                        id,
                        readCrc32c(in),
                        (int) in.number(0, CachedResult.MAX_ENCODED_BYTES),
                        in.bytes(MAX_CHUNK_BYTES));
            case RESULT_REQUEST -> new ReplicationMessage.ResultRequest(id);
            default -> new ReplicationMessage.NotFound(id);
        };
    }

    private static int readCrc32c(CborIn in) throws CborIn.FaultyMessageException {
        return (int) in.number(Integer.MIN_VALUE, Integer.MAX_VALUE);
    }

    private static ReplicationMessage readDemand(CborIn in) throws CborIn.FaultyMessageException {
        CacheKey key = CacheKey.read(in);
        long fingerprint = in.number(Long.MIN_VALUE, Long.MAX_VALUE);
        Set<Long> groups =
                new HashSet<>(in.list(ResultMetadata.MAX_GROUPS, item -> item.number(Long.MIN_VALUE, Long.MAX_VALUE)));
        long size = in.number(0, CachedResult.MAX_ENCODED_BYTES);
        long workUs = in.number(0, MAX_NUMBER);
        long maxAgeMs = in.number(0, MAX_AGE_MS);
        double priorityWeight = readNonNegative(in);
        double expectedRequests = readNonNegative(in);
        return new ReplicationMessage.Demand(
                new Candidate(key, fingerprint, groups, size, workUs, maxAgeMs, priorityWeight, -1), expectedRequests);
    }

    private static double readNonNegative(CborIn in) throws CborIn.FaultyMessageException {
        double value = in.real();
        if (value < 0) {
            throw in.wrong("is " + value + "; expected at least 0");
        }
        return value;
    }
}
