package eiderscale.net;

import io.netty.util.concurrent.Future;

/** One attempt to have a request executed by a cache host. */
final class Attempt {
    final Exchange exchange;
    /** Position among the request's attempts, from 0. */
    final int index;
    /** When the decision module sent it, in nanoseconds of {@link Clock}; its connection may not be open yet then. */
    final long sentAt;
    /** When it times out, in nanoseconds of {@link Clock}. */
    final long deadline;
    /** Whether its outcome is known; each attempt has exactly one outcome. */
    boolean isCompleted;
    /** Ends the attempt at its {@link #deadline}. */
    Future<?> deadlineTimer;
    /** The connection that it is sent on, which may still be connecting; null before it has one and after its end. */
    HostPool.PooledConnection connection;

    Attempt(Exchange exchange, int index, long sentAt, long deadline) {
        this.exchange = exchange;
        this.index = index;
        this.sentAt = sentAt;
        this.deadline = deadline;
    }

    /**
     * Whether its last byte has been written to the socket: from then on the cache host may execute it. False
     * again after its end.
     */
    boolean isFullyWritten() {
        return connection != null && connection.isWritten();
    }
}
