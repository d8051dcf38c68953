package sandpaddle.fleet.node.pool;

/**
 * An engine that pool budgets apply to.
 *
 * @param name id of the engine
 * @param kind name of its engine kind
 * @param up whether the endpoint list shows it as up, and not only did until recently
 */
public record PoolEngine(String name, String kind, boolean up) {}
