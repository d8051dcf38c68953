package sandpaddle.app;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.time.Clock;
import sandpaddle.config.Config;
import sandpaddle.config.FieldException;
import sandpaddle.sim.Adapter;
import sun.misc.Signal;

/**
 * Command line: {@code serve} is one real gateway; {@code adapter} speaks the simulator's wire on standard input
 * and output.
 */
public final class Main {
    private static final long END_MOST_MS = 10_000;

    private Main() { }

    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> serve();
            case "adapter" -> adapt();
            default -> {
                System.err.println("usage: java -jar sandpaddle.jar serve|adapter");
                System.exit(2);
            }
        }
    }

    private static void serve() {
        try {
            Server server = new Server(() -> Config.load(System.getenv()), Clock.systemUTC());
            onHangUp(server::reloadConfig);
            Thread main = Thread.currentThread();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                server.end();
                try {
                    main.join(END_MOST_MS); // the process lives until this hook ends
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
            server.run();
        } catch (FieldException e) {
            System.err.println("sandpaddle: configuration: " + e.getMessage());
            System.exit(2);
        } catch (IOException e) {
            System.err.println("sandpaddle: cannot serve: " + e);
            System.exit(1);
        }
    }

    /** Guards against the JVM's own answer to SIGHUP, which is to end. The task runs in a thread of the JVM's. */
    static void onHangUp(Runnable task) {
        Signal.handle(new Signal("HUP"), signal -> task.run());
    }

    private static void adapt() {
        try (var out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new Adapter(System.in, out).run();
        } catch (Adapter.WireException e) {
            System.err.println("sandpaddle: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("sandpaddle: input or output failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
