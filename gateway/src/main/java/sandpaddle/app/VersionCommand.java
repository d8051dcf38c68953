package sandpaddle.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** {@code version}: prints the versions of the program and of the Java runtime. */
@Command(
        name = "version",
        mixinStandardHelpOptions = true,
        description = "Prints the versions of the program and of the Java runtime.")
final class VersionCommand implements Callable<Integer>, IVersionProvider {
    @Override
    public Integer call() {
        for (String line : getVersion()) {
            System.out.println(line);
        }
        return 0;
    }

    @Override
    public String[] getVersion() {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        return new String[] {
            "sandpaddle " + (version == null ? "(not from a jar)" : version),
            "Java " + Runtime.version() + ", " + System.getProperty("java.vm.name")
        };
    }
}
