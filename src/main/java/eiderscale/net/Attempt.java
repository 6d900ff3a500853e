package eiderscale.net;

import io.netty.util.concurrent.Future;

/** One try to have a request executed by a cache host. */
final class Attempt {
    final Exchange exchange;
    /** Position among the request's attempts, from 0. */
    final int index;
    /** When the decision module asked for it, in nanoseconds of {@link Clock}. */
    final long sentAt;
    /** When it times out, in nanoseconds of {@link Clock}. */
    final long deadline;
    /** Whether it has its outcome, of which there is exactly one. */
    boolean isCompleted;
    /** Ends the attempt at its {@link #deadline}. */
    Future<?> deadlineTimer;
    /** The connection that it is or will be sent on, which may still be connecting; null before and after. */
    HostPool.PooledConnection connection;

    Attempt(Exchange exchange, int index, long sentAt, long deadline) {
        this.exchange = exchange;
        this.index = index;
        this.sentAt = sentAt;
        this.deadline = deadline;
    }

    /** Whether its last byte has been written to the socket: from then on the cache host may execute it. */
    boolean isFullyWritten() {
        return connection != null && connection.isWritten();
    }
}
