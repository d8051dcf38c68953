package sandpaddle.fleet.pool.model;

/** A position in a policy file; line and column count from 1, columns in Unicode characters. */
public record SourcePosition(int line, int column) implements Comparable<SourcePosition> {
    @Override
    public int compareTo(SourcePosition other) {
        return line != other.line ? Integer.compare(line, other.line) : Integer.compare(column, other.column);
    }
}
