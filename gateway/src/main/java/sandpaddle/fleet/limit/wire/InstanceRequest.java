package sandpaddle.fleet.limit.wire;

import sandpaddle.fleet.limit.LimitScope;

/**
 * Requests an instance of a limit with wildcards.
 *
 * @param limit id of the limit in the operator's file
 * @param names the scope of the instance: a name for each wildcard
 */
public record InstanceRequest(String limit, LimitScope names) {}
