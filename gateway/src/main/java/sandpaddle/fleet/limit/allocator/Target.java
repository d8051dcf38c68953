package sandpaddle.fleet.limit.allocator;

/**
 * The quota that a slot should get.
 *
 * @param share what it should be able to use with a lease; not rounded
 * @param floor the part of the share that it should be able to use without a lease
 */
public record Target(double share, long floor) {}
