package sandpaddle.lab.capacity;

import java.util.SortedMap;

/**
 * Results of one scale run with an injected fault.
 *
 * @param gateways number of gateways in the run
 * @param figures measured effects of the fault, by name
 */
record FaultRun(String mechanism, String version, String fault, int gateways, SortedMap<String, Double> figures) {}
