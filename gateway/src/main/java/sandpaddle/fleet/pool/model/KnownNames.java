package sandpaddle.fleet.pool.model;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the caller knows of the fleet; the checker judges only by what is known.
 *
 * @param engines kind to engine names
 * @param maxGateways how many gateways the fleet may have, 1 or more; a floor of every gateway is counted so often
 */
public record KnownNames(
        Optional<Map<String, Set<String>>> engines,
        Optional<Set<String>> classes,
        Optional<Set<String>> zones,
        Optional<Set<String>> gateways,
        Optional<Set<String>> tenants,
        int maxGateways) {
    /** Nothing is known but that the fleet has a gateway. */
    public static final KnownNames NONE =
            new KnownNames(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), 1);
}
