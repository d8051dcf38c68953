package sandpaddle.fleet.limit.wire;

import sandpaddle.fleet.limit.Scope;

/** A limit for each of something, at names that a gateway has met. */
public record InstanceRequest(String limit, Scope at) { }
