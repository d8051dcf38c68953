package sandpaddle.lab;

import java.util.List;
import java.util.Locale;

/**
 * A limit of the fleet under test.
 *
 * @param requestClass null for any class
 * @param engine null for all engines together
 * @param running limit of concurrent queries
 * @param perSecond rate limit; 0 if the limit bounds concurrency
 * @param burst burst size of a rate limit
 */
record FleetLimit(String name, String requestClass, String engine, int running, double perSecond, int burst) {

    /** Limits low enough to be reached in an experiment. */
    static List<FleetLimit> standard(int scale) {
        return List.of(
                new FleetLimit("all", null, null, 6 * scale, 0, 0),
                new FleetLimit("reports", "report", null, 3 * scale, 0, 0),
                new FleetLimit("each", null, "*", 2 * scale, 0, 0),
                new FleetLimit("loads", "load", null, 0, 4, 2));
    }

    /** Limits below the demand, wherever it comes from, and below the capacity of the engines. */
    static List<FleetLimit> tight(int scale) {
        return List.of(
                new FleetLimit("all", null, null, 2 * scale, 0, 0), new FleetLimit("loads", "load", null, 0, 4, 2));
    }

    /** Returns this limit with another concurrency. */
    FleetLimit withRunning(int newRunning) {
        return new FleetLimit(name, requestClass, engine, newRunning, perSecond, burst);
    }

    String json() {
        StringBuilder s = new StringBuilder("{\"name\":\"" + name + "\"");
        s.append(requestClass == null ? "" : ",\"class\":\"" + requestClass + "\"");
        s.append(engine == null ? "" : ",\"engine\":\"" + engine + "\"");
        s.append(
                perSecond > 0
                        ? String.format(Locale.ROOT, ",\"per_s\":%s,\"burst\":%d", perSecond, burst)
                        : ",\"running\":" + running);
        return s.append("}").toString();
    }
}
