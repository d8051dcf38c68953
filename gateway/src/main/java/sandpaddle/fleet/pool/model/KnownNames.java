package sandpaddle.fleet.pool.model;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The names that exist in the fleet as far as the caller knows them. The checker does not check names of a kind for
 * which the set is absent.
 *
 * @param engines names of the engines, by engine kind
 * @param maxGateways the number of gateways that the fleet may have, 1 or more; a floor that applies to every gateway
 * is multiplied by it
 */
public record KnownNames(
        Optional<Map<String, Set<String>>> engines,
        Optional<Set<String>> classes,
        Optional<Set<String>> zones,
        Optional<Set<String>> gateways,
        Optional<Set<String>> tenants,
        int maxGateways) {
    /** No names are known; the fleet has one gateway. */
    public static final KnownNames NONE =
            new KnownNames(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), 1);
}
