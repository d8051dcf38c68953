package sandpaddle.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** Collects the errors of one file, so that all are reported at once. Bounded: keeps the first {@value #MAX_ERRORS}. */
public final class ValidationErrors {
    static final int MAX_ERRORS = 200;

    /**
     * One error.
     *
     * @param file the file with the error, if the validated file refers to another one; empty for the validated file
     * @param line from 1
     * @param column from 1
     * @param path keys that lead to the value, such as {@code fleet.agreed.members[2].name}; empty for the whole file
     * @param found the offending value
     * @param allowed the values that are allowed
     */
    public record ValidationError(String file, int line, int column, String path, String found, String allowed) {
        @Override
        public String toString() {
            String key = path.isEmpty() ? "" : path + ": ";
            return line + ":" + column + ": " + key + "found " + found + "; allowed: " + allowed;
        }
    }

    private final String file;
    private final List<ValidationError> errors = new ArrayList<>();

    /**
     * Creates an empty collection.
     *
     * @param file the name of the validated file, as messages show it
     */
    public ValidationErrors(String file) {
        this.file = file;
    }

    /** Adds an error of the validated file. */
    public void add(int line, int column, String path, String found, String allowed) {
        add("", line, column, path, found, allowed);
    }

    /** Adds an error of another file, which the validated file names under {@code path}. */
    void add(String otherFile, int line, int column, String path, String found, String allowed) {
        if (errors.size() < MAX_ERRORS) {
            errors.add(new ValidationError(otherFile, line, column, path, found, allowed));
        }
    }

    /** Resolves a path that the validated file names against the folder of that file. */
    Path resolveSibling(String name) {
        Path folder = Path.of(file).getParent();
        return folder == null ? Path.of(name) : folder.resolve(name);
    }

    /** Whether there are no errors. */
    public boolean isEmpty() {
        return errors.isEmpty();
    }

    /** The errors by line and column, those of other files last. */
    public List<ValidationError> sorted() {
        List<ValidationError> sorted = new ArrayList<>(errors);
        sorted.sort(Comparator.comparing(ValidationError::file)
                .thenComparingInt(ValidationError::line)
                .thenComparingInt(ValidationError::column));
        return Collections.unmodifiableList(sorted);
    }

    /** One line for each error, starting with the file's name. */
    public List<String> messages() {
        return sorted().stream()
                .map(error -> (error.file.isEmpty() ? file : error.file) + ":" + error)
                .toList();
    }

    /** Appends a key to a path. */
    static String joinPath(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
