package sandpaddle.lab.scale;

import java.util.Locale;

/** A command that the controller of a run sends to a process of simulated gateways, as one line of text. */
record SimulationHostCommand(Kind kind, String argument) {
    enum Kind {
        /** Records the resource use of each gateway so far; the argument is the label of the sample. */
        SAMPLE,
        /** Runs a garbage collection and records the memory in use. */
        MEMORY,
        /** Makes one gateway propose a version of the configuration; the argument is the version. */
        VERSION,
        /** Crashes and restarts gateways; the argument is their names, separated by commas. */
        RESTART,
        /** Makes an engine fail every query; the argument is its index. */
        SICK,
        /** Makes the failing engine healthy again. */
        WELL,
        /** Ends the process. */
        END
    }

    String line() {
        return kind.name().toLowerCase(Locale.ROOT) + " " + argument;
    }

    static SimulationHostCommand parse(String line) {
        int space = line.indexOf(' ');
        return new SimulationHostCommand(
                Kind.valueOf(line.substring(0, space).toUpperCase(Locale.ROOT)), line.substring(space + 1));
    }
}
