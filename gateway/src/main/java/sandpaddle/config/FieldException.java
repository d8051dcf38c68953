package sandpaddle.config;

/** A value that cannot be used; the message names the field, with the path that leads to it. */
public final class FieldException extends Exception {
    private static final long serialVersionUID = 1;

    public FieldException(String message) {
        super(message);
    }
}
