package sandpaddle.fleet.node.wire;

import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.LimitCodec;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * A gateway's heartbeat to the voters.
 *
 * @param configVersion version of the configuration in force at the gateway
 * @param fileVersion version of the configuration in the gateway's own file
 * @param heartbeat usage and demand of its quotas
 */
public record HeartbeatMessage(long configVersion, long fileVersion, Heartbeat heartbeat) {

    /** Encodes the heartbeat. */
    public byte[] encode() {
        CborOut out = new CborOut().number(configVersion).number(fileVersion);
        LimitCodec.write(out, heartbeat);
        return out.done();
    }

    /** Decodes a heartbeat. */
    public static HeartbeatMessage decode(byte[] bytes) throws FaultyMessageException {
        CborIn in = new CborIn(bytes);
        HeartbeatMessage message = new HeartbeatMessage(
                in.number(0, Long.MAX_VALUE), in.number(0, Long.MAX_VALUE), LimitCodec.readHeartbeat(in));
        in.end();
        return message;
    }

    /** Encodes a grant. */
    public static byte[] encode(QuotaGrant grant) {
        CborOut out = new CborOut();
        LimitCodec.write(out, grant);
        return out.done();
    }

    public static QuotaGrant decodeGrant(byte[] bytes) throws FaultyMessageException {
        CborIn in = new CborIn(bytes);
        QuotaGrant grant = LimitCodec.readGrant(in);
        in.end();
        return grant;
    }
}
