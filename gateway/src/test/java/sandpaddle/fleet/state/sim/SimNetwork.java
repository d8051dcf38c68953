package sandpaddle.fleet.state.sim;

import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** A network in virtual time (us) that delays, loses, duplicates and reorders messages, and can be cut one way. */
public final class SimNetwork {
    /**
     * Conditions of all links.
     *
     * @param minDelayUs min delay of a message (us)
     * @param maxDelayUs max delay of a message (us)
     * @param lossRate fraction of messages that are lost
     * @param duplicationRate fraction of messages that are sent twice
     */
    public record NetworkConditions(long minDelayUs, long maxDelayUs, double lossRate, double duplicationRate) {}

    public static final NetworkConditions DEFAULT = new NetworkConditions(200, 2_000, 0, 0);

    /** A message in flight. */
    record InFlightMessage(long arrivalAtUs, long sequence, String from, String to, byte[] message)
            implements Comparable<InFlightMessage> {
        @Override
        public int compareTo(InFlightMessage other) {
            return arrivalAtUs != other.arrivalAtUs
                    ? Long.compare(arrivalAtUs, other.arrivalAtUs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final Random random;
    private final PriorityQueue<InFlightMessage> inFlight = new PriorityQueue<>();
    private final Set<String> cutLinks = new HashSet<>();
    private NetworkConditions conditions = DEFAULT;
    private long sequence;

    SimNetwork(Random random) {
        this.random = random;
    }

    public void conditions(NetworkConditions next) {
        conditions = next;
    }

    /** Cuts one direction of a link. */
    public void cut(String from, String to) {
        cutLinks.add(from + ">" + to);
    }

    public void heal() {
        cutLinks.clear();
        conditions = DEFAULT;
    }

    void send(String from, String to, byte[] message, long now) {
        if (cutLinks.contains(from + ">" + to) || random.nextDouble() < conditions.lossRate()) {
            return;
        }
        int copies = random.nextDouble() < conditions.duplicationRate() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = conditions.minDelayUs()
                    + (long) (random.nextDouble() * (conditions.maxDelayUs() - conditions.minDelayUs()));
            inFlight.add(new InFlightMessage(now + delay, sequence++, from, to, message));
        }
    }

    long nextArrivalAtUs() {
        return inFlight.isEmpty() ? Long.MAX_VALUE : inFlight.peek().arrivalAtUs();
    }

    InFlightMessage take() {
        return inFlight.poll();
    }

    boolean isCut(String from, String to) {
        return cutLinks.contains(from + ">" + to);
    }
}
