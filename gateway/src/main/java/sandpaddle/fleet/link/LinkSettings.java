package sandpaddle.fleet.link;

import java.util.Map;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.member.MemberName;

/**
 * Settings of a gateway's links.
 *
 * @param cluster only gateways with the same cluster name connect to each other
 * @param self this gateway, with the address that it advertises to its peers
 * @param incarnation drawn at the start of this process, greater than any before as far as the clock allows
 * @param times timeouts and intervals
 * @param bounds limits of memory and connections
 * @param addressOverrides addresses by peer name that replace the advertised ones
 */
public record LinkSettings(
        String cluster,
        Member self,
        long incarnation,
        Times times,
        Bounds bounds,
        Map<String, Address> addressOverrides) {
    /** Host and port to connect to. */
    public record Address(String host, int port) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    /**
     * Timeouts and intervals, all in microseconds and at least 1 ms.
     *
     * @param livenessTimeoutUs a link on which nothing was received for this long ends
     * @param sendStallTimeoutUs a link whose peer accepted none of the queued bytes for this long ends
     * @param connectTimeoutUs limit for the TCP connection; allows for a one-way delay of 2 s
     * @param handshakeTimeoutUs limit for the handshake; allows for a one-way delay of 2 s
     * @param minBackoffUs first delay between two attempts at a peer
     * @param maxBackoffUs longest delay between two attempts at a peer
     */
    public record Times(
            long livenessTimeoutUs,
            long sendStallTimeoutUs,
            long connectTimeoutUs,
            long handshakeTimeoutUs,
            long minBackoffUs,
            long maxBackoffUs) {
        /** The default times. */
        public static final Times DEFAULT = new Times(1_000_000, 2_000_000, 6_000_000, 6_000_000, 100_000, 5_000_000);

        /** Checks the lower bounds. */
        public Times {
            if (livenessTimeoutUs < 1000
                    || sendStallTimeoutUs < 1000
                    || connectTimeoutUs < 1000
                    || handshakeTimeoutUs < 1000
                    || minBackoffUs < 1000
                    || maxBackoffUs < minBackoffUs) {
                throw new IllegalArgumentException("link timeouts must be at least 1000 us, and the maximum backoff of "
                        + maxBackoffUs + " us at least the minimum of " + minBackoffUs + " us");
            }
        }

        /** Interval between pings (us): three fit into the liveness timeout, so a late one does not end the link. */
        public long pingIntervalUs() {
            return livenessTimeoutUs / 4;
        }
    }

    /**
     * Limits of memory and connections.
     *
     * @param maxFrameBytes longest frame
     * @param maxQueueBytes bytes queued for one peer
     * @param maxQueueFrames frames queued for one peer
     * @param maxAccepted connections accepted from peers at a time
     * @param maxHandshaking accepted connections without a finished handshake
     * @param maxInboundBytes bytes received from all peers and not yet processed by the fleet's thread, above which
     *     reading stops
     */
    public record Bounds(
            int maxFrameBytes,
            int maxQueueBytes,
            int maxQueueFrames,
            int maxAccepted,
            int maxHandshaking,
            int maxInboundBytes) {
        /** The default bounds. */
        public static final Bounds DEFAULT = new Bounds(1 << 20, 8 << 20, 4096, 512, 256, 32 << 20);

        /** Checks the limits against each other. */
        public Bounds {
            if (maxFrameBytes < 4096
                    || maxFrameBytes > 1 << 26
                    || maxQueueBytes < 4 * maxFrameBytes
                    || maxQueueFrames < 16
                    || maxAccepted < 1
                    || maxHandshaking < 1
                    || maxInboundBytes < maxFrameBytes) {
                throw new IllegalArgumentException("link bounds must allow frames of 4 KiB to 64 MiB, a queue of "
                        + "at least 16 frames and four times the longest frame, and at least one connection");
            }
        }
    }

    /** Checks the names and copies the overrides. */
    public LinkSettings {
        MemberName.check("cluster", cluster);
        MemberName.check("member name", self.name());
        MemberName.check("hall of " + self.name(), self.zone());
        addressOverrides = Map.copyOf(addressOverrides);
    }

    /** Settings with the default times and bounds and without address overrides. */
    public static LinkSettings withDefaults(String cluster, Member self, long incarnation) {
        return new LinkSettings(cluster, self, incarnation, Times.DEFAULT, Bounds.DEFAULT, Map.of());
    }
}
