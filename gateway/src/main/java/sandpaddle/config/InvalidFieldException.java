package sandpaddle.config;

/** A field of JSON that cannot be used. The message names the field, with the path that leads to it. */
public final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message a sentence that begins with the field's path
     */
    public InvalidFieldException(String message) {
        super(message);
    }
}
