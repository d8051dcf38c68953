package sandpaddle.fleet.pool.model;

/**
 * A position in a policy file.
 *
 * @param line counted from 1
 * @param column counted from 1, in Unicode code points
 */
public record SourcePosition(int line, int column) implements Comparable<SourcePosition> {
    @Override
    public int compareTo(SourcePosition other) {
        return line != other.line ? Integer.compare(line, other.line) : Integer.compare(column, other.column);
    }
}
