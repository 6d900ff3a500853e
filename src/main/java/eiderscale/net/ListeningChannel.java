package eiderscale.net;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listening socket that records since when accept calls have failed, and so how long connections may have waited. */
final class ListeningChannel extends NioServerSocketChannel {
    /** A client connection. */
    static final class AcceptedChannel extends RetryingSocketChannel {
        /**
         * 1 s each. This is long because a client that has sent a request must get a reply even if reads or writes fail
         * for a while.
         */
        private static final RetryTimeouts RETRY_TIMEOUTS = new RetryTimeouts(Clock.SECOND, Clock.SECOND);

        /** The longest time that the connection can have waited because accept calls failed. */
        final long acceptDelayNs;

        private AcceptedChannel(ListeningChannel parent, SocketChannel socket, long acceptDelayNs) {
            super(parent, socket, RETRY_TIMEOUTS, parent.counters);
            this.acceptDelayNs = acceptDelayNs;
        }
    }

    /** Accept calls without a result, as when interrupted by signals, after which the queue is taken to be empty. */
    private static final int MAX_ACCEPT_TRIES = 8;
    private static final long NOT_FAILING = Long.MIN_VALUE;
    private final Counters counters;
    /** Time of the first failed accept call since the queue was last empty, or {@link #NOT_FAILING}. */
    private long failingSince = NOT_FAILING;

    ListeningChannel(Counters counters) {
        this.counters = counters;
    }

    /** Whether connections may be left in the accept queue because an accept call failed. */
    boolean isFailing() {
        return failingSince != NOT_FAILING;
    }

    /** Accepts the waiting connections without an event from the selector. */
    void acceptPending() {
        unsafe().read();
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = acceptSocket();
        // The selector has reported a connection, so if the first call returns none, it may have been interrupted.
        for (int i = 1; socket == null && accepted.isEmpty() && i < MAX_ACCEPT_TRIES; i++) {
            socket = acceptSocket();
        }
        if (socket == null) {
            failingSince = NOT_FAILING;
            return 0;
        }
        return addAccepted(accepted, socket) ? 1 : 0;
    }

    /**
     * Adds a connection; returns false if it cannot be set up. It is closed then, as an exception would close the
     * listening socket.
     */
    private boolean addAccepted(List<Object> accepted, SocketChannel socket) throws IOException {
        try {
            accepted.add(new AcceptedChannel(this, socket, isFailing() ? Clock.now() - failingSince : 0));
            return true;
        } catch (RuntimeException | Error e) {
            Counters.log("cannot set up an accepted connection", e);
            socket.close();
            return false;
        }
    }

    private SocketChannel acceptSocket() throws IOException {
        try {
            return javaChannel().accept();
        } catch (IOException e) {
            failingSince = isFailing() ? failingSince : Clock.now();
            throw e;
        }
    }
}
