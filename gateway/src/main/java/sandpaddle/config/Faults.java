package sandpaddle.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** All that is wrong with one file, gathered so that it is told at once. Bounded: the first {@value #MOST} are kept. */
public final class Faults {
    static final int MOST = 200;

    /** One fault: where, the path of the key, what stands there, and what may. */
    public record Fault(int line, int column, String path, String found, String allowed) {
        @Override
        public String toString() {
            String key = path.isEmpty() ? "" : path + ": ";
            return line + ":" + column + ": " + key + "found " + found + "; allowed: " + allowed;
        }
    }

    private final String file;
    private final List<Fault> list = new ArrayList<>();

    public Faults(String file) {
        this.file = file;
    }

    public void add(int line, int column, String path, String found, String allowed) {
        if (list.size() < MOST) {
            list.add(new Fault(line, column, path, found, allowed));
        }
    }

    public boolean isEmpty() {
        return list.isEmpty();
    }

    /** The faults by place. */
    public List<Fault> list() {
        List<Fault> sorted = new ArrayList<>(list);
        sorted.sort(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column));
        return Collections.unmodifiableList(sorted);
    }

    /** A line for each fault, which begins with the file's name. */
    public List<String> lines() {
        return list().stream().map(f -> file + ":" + f).toList();
    }

    static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
