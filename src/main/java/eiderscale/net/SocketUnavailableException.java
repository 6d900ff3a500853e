package eiderscale.net;

/** A socket could not be created, or registered with the event loop, on this machine; the peer is not the cause. */
final class SocketUnavailableException extends Exception {
    private static final long serialVersionUID = 1L;

    SocketUnavailableException(Throwable cause) {
        super(cause.getCause() == null ? cause.toString() : cause.getCause().toString(), cause);
    }
}
