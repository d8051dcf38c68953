package sandpaddle;

import sandpaddle.sim.Adapter;
import java.io.BufferedOutputStream;
import sandpaddle.sim.Adapter;
import java.io.FileDescriptor;
import sandpaddle.sim.Adapter;
import java.io.FileOutputStream;
import sandpaddle.sim.Adapter;
import java.io.IOException;

/** Command line: {@code adapter} speaks the simulator's wire on standard input and output. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar sandpaddle.jar adapter");
            System.exit(2);
        }
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
