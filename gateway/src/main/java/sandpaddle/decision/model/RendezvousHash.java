package sandpaddle.decision.model;

/** Rendezvous (highest random weight) hash of a key and an engine; all gateways compute the same value. */
public final class RendezvousHash {
    /** Fractional part of the golden ratio: its multiples modulo 1 are evenly distributed for any number of them. */
    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;

    private RendezvousHash() {}

    /** Returns a value in [0, 1) that depends only on the key and the engine. */
    public static double hash(long key, String engineId) {
        long bits = key * 0x9E3779B97F4A7C15L ^ engineId.hashCode() * 0xC2B2AE3D27D4EB4FL;
        bits = (bits ^ (bits >>> 31)) * 0xBF58476D1CE4E5B9L;
        return ((bits ^ (bits >>> 29)) >>> 11) * 0x1.0p-53;
    }

    /**
     * Returns the position of an engine in a gateway's preference order, in [0, 1). The positions of one engine at
     * different gateways are distributed evenly, so that gateways prefer different engines.
     */
    public static double position(int gatewayIndex, String engineId) {
        return (hash(0, engineId) + gatewayIndex * GOLDEN_RATIO_FRACTION) % 1;
    }
}
