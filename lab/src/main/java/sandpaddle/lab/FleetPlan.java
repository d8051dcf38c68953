package sandpaddle.lab;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Parameters of one fleet run.
 *
 * @param brief whether to use the short timing
 * @param sharing whether gateways share state; if false, each runs by itself
 */
record FleetPlan(
        long seed,
        Scenario scenario,
        int gateways,
        int engines,
        double load,
        boolean brief,
        boolean sharing,
        Path jar,
        Path folder) {
    /** Faults during the run, in addition to the load. */
    enum Scenario {
        /** No fault. */
        CALM,
        /** One gateway gets four fifths of the attempts. */
        UNEVEN,
        /** A gateway is killed and restarted with its directory. */
        KILL,
        /** A gateway is suspended past its lease, and resumed. */
        STOP,
        /** A gateway is isolated from all others, and rejoins. */
        CUT,
        /** Outbound traffic of one gateway to its peers is lost; inbound traffic arrives. */
        ONE_WAY,
        /** The peers' ends of a gateway's connections are closed repeatedly without its own ends noticing. */
        HALF_OPEN,
        /** Links of a gateway have low bandwidth and a delay of two seconds. */
        THROTTLE,
        /** A gateway is cut off from the control feed. */
        FEED,
        /** A gateway reaches no engine, although the engines are healthy. */
        ENGINE_LINK,
        /** Frames between gateways are delayed, lost and duplicated. */
        NOISE,
        /** A voter's disk is full for a while. */
        DISK_FULL,
        /** A voter is killed and restarted with an empty directory; another with an outdated copy of its directory. */
        DISK_LOST,
        /** A gateway joins, another leaves. */
        MEMBERS,
        /** A limit is lowered while a gateway is isolated, and raised again. */
        LOWER,
        /** A pool policy is replaced by a smaller one while a gateway is isolated, and restored. */
        POOL,
        /** An engine fails all requests. */
        SICK,
        /** Frames are delayed throughout, one gateway is isolated, and meanwhile a voter is killed. */
        SEVERAL,
        /** Several of these at once, drawn from the seed. */
        DRAWN,
        /** A zone loses its uplink in a scheduled outage, and answers from stored results. */
        OUTAGE
    }

    /** Duration of a fault, and time from the last fault to the end. */
    record Times(Duration fault, Duration after) {}

    Times times() {
        return brief
                ? new Times(Duration.ofSeconds(10), Duration.ofSeconds(5))
                : new Times(Duration.ofSeconds(20), Duration.ofSeconds(20));
    }
}
