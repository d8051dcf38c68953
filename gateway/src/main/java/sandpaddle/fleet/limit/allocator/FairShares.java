package sandpaddle.fleet.limit.allocator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Divides one limit by demand: max-min fairness weighted by demand, by water filling (Bertsekas and Gallager, Data
 * Networks, 6.5.2). No slot gets less than its floor, and each slot with demand gets one unit while there are enough;
 * otherwise the slots take turns. What exceeds the demand is spread evenly. So if the amount suffices each slot gets
 * its demand, and else slot i gets max(guaranteed_i, level * demand_i) for one common level. Cost: O(n) for each of 64
 * bisections.
 */
public final class FairShares {
    /**
     * Duration of a turn if a limit is too small for all: of n slots that share m units each has one every n/m turns
     * (us).
     */
    public static final long TURN_US = 5_000_000;

    private static final int BISECTIONS = 64; // the error of the level is at most 2^-64

    private FairShares() {}

    /**
     * The share of each slot, not rounded.
     *
     * @param nowUs monotonic time, which decides whose turn it is (us)
     * @param amount what is divided, in the unit of the limit
     * @param floors the floor of each slot; they sum to {@code amount} at most
     * @param slotDemands the demand of each slot, in the order of {@code floors}
     */
    public static double[] of(long nowUs, long amount, long[] floors, List<SlotDemand> slotDemands) {
        int slotCount = floors.length;
        double[] min = guaranteedShares(nowUs, amount, floors, slotDemands);
        double[] demands = new double[slotCount];
        double demandSum = 0;
        double minSum = 0;
        for (int i = 0; i < slotCount; i++) {
            demands[i] = Math.max(min[i], slotDemands.get(i).demand());
            demandSum += demands[i];
            minSum += min[i];
        }
        if (demandSum <= amount) {
            for (int i = 0; i < slotCount; i++) {
                demands[i] += (amount - demandSum) / slotCount;
            }
            return demands;
        }
        if (minSum >= amount) {
            return min;
        }
        double level = level(amount, min, demands);
        for (int i = 0; i < slotCount; i++) {
            demands[i] = Math.max(min[i], level * demands[i]);
        }
        return demands;
    }

    /** The largest fraction of all demands, between 0 and 1, that the amount suffices for. */
    private static double level(long amount, double[] min, double[] demands) {
        double low = 0;
        double high = 1;
        for (int step = 0; step < BISECTIONS; step++) {
            double level = (low + high) / 2;
            double sum = 0;
            for (int i = 0; i < min.length; i++) {
                sum += Math.max(min[i], level * demands[i]);
            }
            if (sum > amount) {
                high = level;
            } else {
                low = level;
            }
        }
        return low;
    }

    /** The floor of each slot, or one unit for slots with demand and no floor while there are enough. */
    private static double[] guaranteedShares(long nowUs, long amount, long[] floors, List<SlotDemand> slotDemands) {
        double[] min = new double[floors.length];
        long remaining = amount;
        List<Integer> withoutFloor = new ArrayList<>();
        for (int i = 0; i < floors.length; i++) {
            min[i] = floors[i];
            remaining -= floors[i];
            if (floors[i] == 0 && slotDemands.get(i).demand() > 0) {
                withoutFloor.add(i);
            }
        }
        if (withoutFloor.size() > remaining && remaining > 0) {
            withoutFloor.sort(Comparator.comparingLong(
                    i -> RendezvousHash.hash(slotDemands.get(i).slot().member(), "")));
            int waiting = withoutFloor.size();
            Collections.rotate(withoutFloor, -(int) (nowUs / TURN_US % waiting * remaining % waiting));
        }
        for (int i : withoutFloor) {
            if (remaining <= 0) {
                break;
            }
            remaining--;
            min[i] = 1;
        }
        return min;
    }
}
