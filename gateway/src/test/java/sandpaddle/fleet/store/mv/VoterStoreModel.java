package sandpaddle.fleet.store.mv;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.VoterStore;

/** Reference model of a {@link VoterStore}: both get the same random changes, and their content is compared. */
final class VoterStoreModel {
    private int term;
    private String vote = "-";
    private final TreeMap<Long, byte[]> log = new TreeMap<>();
    private long last;
    private long snapshot;
    private byte[] chunk = {};
    private final TreeMap<String, byte[]> values = new TreeMap<>();

    /** The content of a store in the format of {@link #toString}. */
    static String describe(VoterStore store) throws StoreException {
        RecoveredState recovered = store.recover();
        StringBuilder line =
                new StringBuilder(recovered.term() + " " + recovered.vote().orElse("-") + " ");
        recovered
                .snapshot()
                .ifPresent(stored -> stored.chunks()
                        .forEach(data -> line.append(stored.index()).append(summary(data))));
        recovered
                .entries()
                .forEach(entry ->
                        line.append(' ').append(entry.index()).append(':').append(summary(entry.data())));
        for (String name : List.of("a", "b")) {
            byte[] value = store.get(name).orElse(new byte[0]);
            line.append(' ').append(name).append(summary(value));
        }
        return line.toString();
    }

    private static String summary(byte[] bytes) {
        return bytes.length + "/" + Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        StringBuilder line = new StringBuilder(term + " " + vote + " ");
        if (snapshot > 0) {
            line.append(snapshot).append(summary(chunk));
        }
        log.forEach((index, entry) -> line.append(' ').append(index).append(':').append(summary(entry)));
        for (String name : List.of("a", "b")) {
            line.append(' ').append(name).append(summary(values.getOrDefault(name, new byte[0])));
        }
        return line.toString();
    }

    /** A change to be applied to a store. */
    interface Change {
        void applyTo(VoterStore store) throws StoreException;
    }

    /** Draws a random change that ends with a flush, and applies it to this model. */
    Change drawChange(Random random) {
        List<Change> steps = new ArrayList<>();
        int kind = random.nextInt(10);
        if (kind == 0) {
            term++;
            vote = random.nextBoolean() ? "-" : "v" + random.nextInt(3) + "#1";
            int newTerm = term;
            String votedFor = vote.equals("-") ? null : vote;
            steps.add(store -> store.setTerm(newTerm, votedFor));
        } else if (kind == 1) {
            String name = random.nextBoolean() ? "a" : "b";
            byte[] value = randomBytes(random, 300);
            values.put(name, value);
            steps.add(store -> store.put(name, value));
        } else if (kind == 2 && last > snapshot + 3) {
            takeSnapshot(random, steps);
        } else if (kind == 3 && !log.isEmpty()) {
            long from = log.lastKey() - random.nextInt(Math.min(3, log.size()));
            log.tailMap(from).clear();
            last = from - 1;
            steps.add(store -> store.truncateFrom(from));
            appendEntry(random, steps);
        } else {
            for (int i = random.nextInt(4); i >= 0; i--) {
                appendEntry(random, steps);
            }
        }
        steps.add(VoterStore::flush);
        return store -> {
            for (Change step : steps) {
                step.applyTo(store);
            }
        };
    }

    private void appendEntry(Random random, List<Change> steps) {
        long index = ++last;
        byte[] entry = randomBytes(random, 700);
        log.put(index, entry);
        steps.add(store -> store.append(index, 1, entry));
    }

    private void takeSnapshot(Random random, List<Change> steps) {
        long previous = snapshot;
        long index = last - 1 - random.nextInt(2);
        byte[] data = randomBytes(random, 3000);
        snapshot = index;
        chunk = data;
        log.headMap(index, true).clear();
        steps.add(store -> store.snapshotChunk(index, 1, 0, 1, data));
        steps.add(store -> store.truncateUntil(index));
        steps.add(store -> store.dropSnapshot(previous));
    }

    private static byte[] randomBytes(Random random, int limit) {
        byte[] bytes = new byte[random.nextInt(limit)];
        random.nextBytes(bytes);
        return bytes;
    }
}
