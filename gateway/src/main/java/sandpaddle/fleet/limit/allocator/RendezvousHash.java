package sandpaddle.fleet.limit.allocator;

/**
 * Rendezvous hashing, also called highest random weight (Thaler and Ravishankar 1998): every gateway chooses the same,
 * and a change of the members moves little.
 */
final class RendezvousHash {
    private RendezvousHash() {}

    /** The hash of a pair of names, never negative: FNV-1a with the finalizer of SplitMix64. */
    static long hash(String one, String other) {
        long hash = 0xcbf29ce484222325L;
        for (String part : new String[] {one, "\0", other}) {
            for (int i = 0; i < part.length(); i++) {
                hash = (hash ^ part.charAt(i)) * 0x100000001b3L;
            }
        }
        hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
        return (hash ^ hash >>> 31) >>> 1;
    }
}
