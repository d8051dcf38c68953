package sandpaddle.fleet.link.tcp;

import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import sandpaddle.fleet.link.LinkSettings.Address;

/**
 * Resolves host names to IPv4 addresses on a thread of its own ({@code fleet-resolve}), so that a slow name server
 * does not stop the links. Numeric addresses are resolved on the calling thread.
 */
final class HostResolver implements AutoCloseable {
    private static final Pattern NUMERIC_ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
    private static final int MAX_QUEUED_NAMES = 256;

    private final ThreadPoolExecutor executor;

    HostResolver() {
        executor =
                new ThreadPoolExecutor(1, 1, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_QUEUED_NAMES), task -> {
                    Thread thread = new Thread(task, "fleet-resolve");
                    thread.setDaemon(true);
                    return thread;
                });
        executor.allowCoreThreadTimeOut(true);
    }

    /**
     * Calls back with an address, or with null and the error, on the calling or the resolver thread.
     *
     * @param address host and port
     * @param isNeeded checked before a name is looked up, because the attempt may have ended
     * @param found receives the result
     */
    void resolve(Address address, BooleanSupplier isNeeded, BiConsumer<InetSocketAddress, String> found) {
        if (NUMERIC_ADDRESS.matcher(address.host()).matches()) {
            lookUp(address, found); // needs no name server
            return;
        }
        try {
            executor.execute(() -> {
                if (isNeeded.getAsBoolean()) {
                    lookUp(address, found);
                }
            });
        } catch (RejectedExecutionException e) {
            found.accept(
                    null, "host " + address.host() + ": resolver queue is full with " + MAX_QUEUED_NAMES + " names");
        }
    }

    private static void lookUp(Address address, BiConsumer<InetSocketAddress, String> found) {
        try {
            for (InetAddress candidate : InetAddress.getAllByName(address.host())) {
                if (candidate instanceof Inet4Address) {
                    found.accept(new InetSocketAddress(candidate, address.port()), null);
                    return;
                }
            }
            found.accept(null, "host " + address.host() + " has no IPv4 address");
        } catch (UnknownHostException e) {
            found.accept(null, "host " + address.host() + " cannot be resolved");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
