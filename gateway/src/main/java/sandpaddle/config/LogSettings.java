package sandpaddle.config;

/**
 * Format and level of the log: section {@code log} of the operator's file.
 *
 * @param format of a line; the option {@code --log} of the command line overrides it
 * @param level the lowest level that is written
 */
public record LogSettings(Format format, Level level) {
    /** Format of a line. */
    public enum Format {
        /** Text for people. */
        HUMAN,
        /** One JSON object. */
        JSON
    }

    /** Severity of an entry, in ascending order. */
    public enum Level {
        /** The steps of each query. */
        DEBUG,
        /** Normal events such as start, reload and shutdown. */
        INFO,
        /** Conditions that the gateway tolerates but an operator should check. */
        WARN,
        /** Failures. */
        ERROR
    }

    static final LogSettings DEFAULT = new LogSettings(Format.HUMAN, Level.INFO);

    static LogSettings read(SectionReader section) {
        return new LogSettings(
                section.oneOf("format", DEFAULT.format, Format.class),
                section.oneOf("level", DEFAULT.level, Level.class));
    }
}
