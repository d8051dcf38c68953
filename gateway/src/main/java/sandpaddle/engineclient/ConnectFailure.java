package sandpaddle.engineclient;

import java.net.ConnectException;
import java.net.NoRouteToHostException;

/** Why a call got no connection to its engine. */
enum ConnectFailure {
    REFUSED,
    UNREACHABLE,
    /** The connect timeout passed although the engine responded on another connection: only this one is late. */
    LATE,
    /** A limit on connections is reached, in this process or at the engine. */
    NO_CAPACITY;

    /**
     * Classifies the exception of a failed connect.
     *
     * @param cause the exception
     * @param fallback the result for an exception whose type does not tell the cause
     */
    static ConnectFailure of(Exception cause, ConnectFailure fallback) {
        if (cause instanceof ConnectException) {
            return REFUSED;
        }
        return cause instanceof NoRouteToHostException ? UNREACHABLE : fallback;
    }

    /** Whether it indicates a fault of the engine, not only of one connection or of this process. */
    boolean isEngineFault() {
        return this == REFUSED || this == UNREACHABLE;
    }
}
