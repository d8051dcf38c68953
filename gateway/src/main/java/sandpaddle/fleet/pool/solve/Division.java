package sandpaddle.fleet.pool.solve;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import sandpaddle.fleet.pool.solve.Allocation.UnmetFloor;
import sandpaddle.fleet.pool.solve.Rows.Floor;

/**
 * Divides the capacity among the rows: first the floors, one family after the other from the most specific one, then
 * the remaining capacity, each by progressive filling. For a family, its floors are added as links, so that floors that
 * exceed the capacity are scaled fairly within the family, and earlier families take precedence over later ones. The
 * connections that a row receives from floors are its minimum in the following steps.
 */
final class Division {
    private final Rows rows;
    private final int[] max;
    private final int[] min;
    private final long[] usedByFloors; // for each link
    private long steps;

    private Division(Rows rows, int[] max) {
        this.rows = rows;
        this.max = max;
        min = new int[max.length];
        usedByFloors = new long[rows.capacity.length];
    }

    /**
     * The result of a division.
     *
     * @param connections of each row
     * @param floors the part of {@code connections} that floors guarantee, for each row
     * @param unmetFloors floors that could not be granted in full
     * @param steps operations performed, as a measure of the cost
     */
    record Result(int[] connections, int[] floors, List<UnmetFloor> unmetFloors, long steps) {}

    static Result divide(Rows rows, int[] max, int[] previous) {
        Division division = new Division(rows, max);
        rows.floors.forEach(division::grantFamily);
        Network network = new Network(rows.weight, division.min, max, rows.links, rows.capacity);
        int[] connections = division.solve(network, previous, rows.tieBreakers);
        return new Result(connections, division.min, division.unmetFloors(connections), division.steps);
    }

    private int[] solve(Network network, int[] previous, int[] tieBreakers) {
        ProgressiveFilling.Shares shares = ProgressiveFilling.fill(network);
        steps += shares.steps();
        return Rounding.round(network, shares.value(), previous, tieBreakers);
    }

    /**
     * Raises the minimum of the family's rows to their floors, as far as the links have capacity. The previous
     * allocation is not passed to the rounding here: it holds whole shares rather than floors, and would favor rows
     * that borrowed.
     */
    private void grantFamily(List<Floor> family) {
        int[] rowIndices = family.stream()
                .flatMap(floor -> floor.rows().stream())
                .mapToInt(Integer::intValue)
                .toArray();
        int count = rowIndices.length;
        int linkCount = rows.capacity.length;
        long[] capacity = Arrays.copyOf(rows.capacity, linkCount + family.size());
        for (int link = 0; link < linkCount; link++) {
            capacity[link] -= usedByFloors[link];
        }
        long[] weight = new long[count];
        int[] familyMin = new int[count];
        int[] familyMax = new int[count];
        int[] tieBreakers = new int[count];
        int[][] links = new int[count][];
        int next = 0;
        for (int floorIndex = 0; floorIndex < family.size(); floorIndex++) {
            long held = 0;
            for (int row : family.get(floorIndex).rows()) {
                weight[next] = rows.weight[row];
                familyMin[next] = min[row];
                familyMax[next] = Math.max(max[row], min[row]);
                tieBreakers[next] = rows.tieBreakers[row];
                links[next] = Arrays.copyOf(rows.links[row], rows.links[row].length + 1);
                links[next][rows.links[row].length] = linkCount + floorIndex;
                for (int link : rows.links[row]) {
                    capacity[link] += min[row]; // held by rows of the family, so it is not used by others
                }
                held += min[row];
                next++;
            }
            capacity[linkCount + floorIndex] =
                    Math.max(held, family.get(floorIndex).share().floor().getAsInt());
        }
        int[] granted = solve(new Network(weight, familyMin, familyMax, links, capacity), new int[count], tieBreakers);
        for (int i = 0; i < count; i++) {
            for (int link : rows.links[rowIndices[i]]) {
                usedByFloors[link] += granted[i] - min[rowIndices[i]];
            }
            min[rowIndices[i]] = granted[i];
        }
    }

    private List<UnmetFloor> unmetFloors(int[] connections) {
        List<UnmetFloor> unmetFloors = new ArrayList<>();
        for (List<Floor> family : rows.floors) {
            for (Floor floor : family) {
                long demanded = 0;
                long allocated = 0;
                for (int row : floor.rows()) {
                    demanded += max[row];
                    allocated += connections[row];
                }
                int size = floor.share().floor().getAsInt();
                if (allocated < Math.min(size, demanded)) {
                    unmetFloors.add(new UnmetFloor(
                            floor.selector(), floor.share().position().line(), size, demanded, allocated));
                }
            }
        }
        return unmetFloors;
    }
}
