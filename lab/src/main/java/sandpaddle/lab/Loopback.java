package sandpaddle.lab;

import java.net.InetSocketAddress;

/**
 * Loopback address specific to this process. Without it, concurrent experiments could interfere: the port of a killed
 * engine could be taken by an engine of another experiment, which would then receive its requests.
 */
public final class Loopback {
    private static final long PID = ProcessHandle.current().pid();
    private static final int BYTE = 254;

    /** Address in 127.0.0.0/8. */
    public static final String HOST = "127." + (1 + PID / BYTE % BYTE) + "." + (1 + PID % BYTE) + ".1";

    private Loopback() {}

    /** Returns the socket address of a port at {@link #HOST}. */
    public static InetSocketAddress at(int port) {
        return new InetSocketAddress(HOST, port);
    }
}
