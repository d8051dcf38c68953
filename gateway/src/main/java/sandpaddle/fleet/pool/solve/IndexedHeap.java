package sandpaddle.fleet.pool.solve;

import java.util.Arrays;

/**
 * An indexed binary min-heap of the items 0 to n - 1, whose keys can be changed in O(log n). Items of equal keys are
 * ordered by number.
 */
final class IndexedHeap {
    private final double[] key;
    private final int[] heap;
    private final int[] heapIndex; // by item; -1 if absent
    private int size;
    private long steps;

    IndexedHeap(int itemBound) {
        key = new double[itemBound];
        heap = new int[itemBound];
        heapIndex = new int[itemBound];
        Arrays.fill(heapIndex, -1);
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** The item of the least key; undefined if the heap is empty. */
    int peek() {
        return heap[0];
    }

    /** The least key; infinity if the heap is empty. */
    double peekKey() {
        return size == 0 ? Double.POSITIVE_INFINITY : key[heap[0]];
    }

    /** The number of moves within the heap so far, as a measure of the cost. */
    long steps() {
        return steps;
    }

    /** Inserts an item, or changes its key. */
    void putOrUpdate(int item, double newKey) {
        key[item] = newKey;
        if (heapIndex[item] < 0) {
            heapIndex[item] = size;
            heap[size++] = item;
        }
        siftDown(siftUp(heapIndex[item]));
    }

    /** Removes an item if it is present. */
    void remove(int item) {
        int index = heapIndex[item];
        if (index < 0) {
            return;
        }
        heapIndex[item] = -1;
        int lastItem = heap[--size];
        if (lastItem != item) {
            heap[index] = lastItem;
            heapIndex[lastItem] = index;
            siftDown(siftUp(index));
        }
    }

    private boolean precedes(int item, int other) {
        return key[item] < key[other] || key[item] == key[other] && item < other;
    }

    private int siftUp(int start) {
        int index = start;
        int item = heap[index];
        steps++;
        while (index > 0 && precedes(item, heap[(index - 1) / 2])) {
            place(index, heap[(index - 1) / 2]);
            index = (index - 1) / 2;
        }
        place(index, item);
        return index;
    }

    private void siftDown(int start) {
        int index = start;
        int item = heap[index];
        while (2 * index + 1 < size) {
            int child = 2 * index + 1;
            if (child + 1 < size && precedes(heap[child + 1], heap[child])) {
                child++;
            }
            if (!precedes(heap[child], item)) {
                break;
            }
            place(index, heap[child]);
            index = child;
        }
        place(index, item);
    }

    private void place(int index, int item) {
        steps++;
        heap[index] = item;
        heapIndex[item] = index;
    }
}
