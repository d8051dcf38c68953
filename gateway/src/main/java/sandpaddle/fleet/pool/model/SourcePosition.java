package sandpaddle.fleet.pool.model;

/** Where something stands in a policy file; both count from 1, columns in Unicode characters. */
public record SourcePosition(int line, int column) implements Comparable<SourcePosition> {
    @Override
    public int compareTo(SourcePosition other) {
        return line != other.line ? Integer.compare(line, other.line) : Integer.compare(column, other.column);
    }
}
