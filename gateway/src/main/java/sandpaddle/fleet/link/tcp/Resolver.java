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

/** Finds the IPv4 address of a host, names on a thread of their own: a slow name server must not stop the links. */
final class Resolver implements AutoCloseable {
    private static final Pattern NUMBERS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
    private static final int MAX_WAITING = 256;

    private final ThreadPoolExecutor thread;

    Resolver() {
        thread = new ThreadPoolExecutor(1, 1, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_WAITING), task -> {
            Thread t = new Thread(task, "fleet-resolve");
            t.setDaemon(true);
            return t;
        });
        thread.allowCoreThreadTimeOut(true);
    }

    /**
     * Calls back with an address, or with null and what is wrong; at once or from another thread.
     *
     * @param wanted asked before a name is looked up: nobody may wait any more
     */
    void resolve(Address address, BooleanSupplier wanted, BiConsumer<InetSocketAddress, String> found) {
        if (NUMBERS.matcher(address.host()).matches()) {
            look(address, found); // asks no server
            return;
        }
        try {
            thread.execute(() -> {
                if (wanted.getAsBoolean()) {
                    look(address, found);
                }
            });
        } catch (RejectedExecutionException e) {
            found.accept(null, "host " + address.host() + ": " + MAX_WAITING + " names are being looked up");
        }
    }

    private static void look(Address address, BiConsumer<InetSocketAddress, String> found) {
        try {
            for (InetAddress a : InetAddress.getAllByName(address.host())) {
                if (a instanceof Inet4Address) {
                    found.accept(new InetSocketAddress(a, address.port()), null);
                    return;
                }
            }
            found.accept(null, "host " + address.host() + " has no IPv4 address");
        } catch (UnknownHostException e) {
            found.accept(null, "host " + address.host() + " is not known");
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
