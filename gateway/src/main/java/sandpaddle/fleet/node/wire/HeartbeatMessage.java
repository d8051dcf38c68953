package sandpaddle.fleet.node.wire;

import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.LimitCodec;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * A gateway's heartbeat to the voters. Also encodes and decodes the leader's grants.
 *
 * @param configVersion version of the configuration in force at the gateway, 0 if none
 * @param fileVersion version of the configuration in the gateway's own file
 * @param heartbeat usage of its quotas, and its demand
 */
public record HeartbeatMessage(long configVersion, long fileVersion, Heartbeat heartbeat) {

    /** Encodes the message as CBOR. */
    public byte[] encode() {
        CborOut out = new CborOut().number(configVersion).number(fileVersion);
        LimitCodec.write(out, heartbeat);
        return out.done();
    }

    /**
     * Decodes a heartbeat.
     *
     * @throws FaultyMessageException if the bytes are not exactly one valid heartbeat
     */
    public static HeartbeatMessage decode(byte[] bytes) throws FaultyMessageException {
        CborIn in = new CborIn(bytes);
        HeartbeatMessage message = new HeartbeatMessage(
                in.number(0, Long.MAX_VALUE), in.number(0, Long.MAX_VALUE), LimitCodec.readHeartbeat(in));
        in.end();
        return message;
    }

    /** Encodes a grant as CBOR. */
    public static byte[] encode(QuotaGrant grant) {
        CborOut out = new CborOut();
        LimitCodec.write(out, grant);
        return out.done();
    }

    /**
     * Decodes a grant.
     *
     * @throws FaultyMessageException if the bytes are not exactly one valid grant
     */
    public static QuotaGrant decodeGrant(byte[] bytes) throws FaultyMessageException {
        CborIn in = new CborIn(bytes);
        QuotaGrant grant = LimitCodec.readGrant(in);
        in.end();
        return grant;
    }
}
