package eiderscale.sim;

/** The input breaks the wire format, or a setting has an invalid value. The message says what was found. */
final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
        super(message);
    }
}
