package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A TCP connection that survives transient failures of system calls: interruption by a signal (EINTR), lack of memory
 * (ENOMEM, ENOBUFS, also that of this process while writing), and errors that only this end sees (ETIMEDOUT,
 * EHOSTUNREACH). A broken connection reports its error once and the end of the stream on the next read, so a second
 * read distinguishes it from a transient failure.
 */
class RetryingSocketChannel extends NioSocketChannel {
    /** What a read returns at the end of the stream; the JDK returns a lower value for an interrupted call. */
    private static final int END_OF_STREAM = -1;
    /** Immediate retries of an interrupted read; after these it is retried with a delay. */
    private static final int MAX_INTERRUPTED_READ_RETRIES = 8;
    /** Calls without a result, as when interrupted by signals, after which a connect fails. */
    private static final int MAX_FINISH_CONNECT_TRIES = 64;
    private static final int RETRY_DELAY_MS = 5;
    private static final long NOT_FAILING = Long.MIN_VALUE;

    /**
     * How long calls on a connection may fail without a success in between before it is closed.
     *
     * @param readNs time for reads
     * @param writeNs time for writes
     */
    record RetryTimeouts(long readNs, long writeNs) {
    }

    private final RetryTimeouts retryTimeouts;
    private final Counters counters;
    private long readsFailingSince = NOT_FAILING;
    private long writesFailingSince = NOT_FAILING;
    /** The value of {@link #getAndResetReadDelayNs}. */
    private long readDelayNs;
    /** Whether reading is suspended until {@link #resumeReads} runs. */
    private boolean isReadPaused;
    private boolean isWriteRetryScheduled;

    /**
     * Opens a socket.
     *
     * @throws io.netty.channel.ChannelException if none is available
     */
    RetryingSocketChannel(RetryTimeouts retryTimeouts, Counters counters) {
        this.retryTimeouts = retryTimeouts;
        this.counters = counters;
    }

    /** Wraps a socket that was accepted by {@code parent}. */
    RetryingSocketChannel(Channel parent, SocketChannel socket, RetryTimeouts retryTimeouts, Counters counters) {
        super(parent, socket);
        this.retryTimeouts = retryTimeouts;
        this.counters = counters;
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        try {
            return readRetryingInterrupts(buffer);
        } catch (SocketException | ClosedChannelException e) {
            // The peer has reset the connection, after which the JDK fails all reads, or it was closed here.
            throw e;
        } catch (IOException e) {
            return retryFailedRead(buffer, e);
        }
    }

    /** Returns the longest time that input read since the last call of this can have waited because reads failed. */
    long getAndResetReadDelayNs() {
        long delayNs = readDelayNs;
        readDelayNs = 0;
        return delayNs;
    }

    /** Whether the last read failed and is to be repeated, so that not even the end of the stream would be seen. */
    boolean isReadFailing() {
        return readsFailingSince != NOT_FAILING;
    }

    /** Whether the last write failed and is to be repeated: the connection may be broken. */
    boolean isWriteFailing() {
        return writesFailingSince != NOT_FAILING;
    }

    private int readRetryingInterrupts(ByteBuf buffer) throws Exception {
        int bytesRead = super.doReadBytes(buffer);
        // Retried at once, as the end of the stream may be unread: no request is started for a client that has
        // disconnected.
        for (int i = 0; bytesRead < END_OF_STREAM && i < MAX_INTERRUPTED_READ_RETRIES; i++) {
            bytesRead = super.doReadBytes(buffer);
        }
        if (bytesRead < END_OF_STREAM) {
            scheduleReadRetry();
            return 0;
        }
        if (bytesRead > 0 && readsFailingSince != NOT_FAILING) {
            readDelayNs += Clock.now() - readsFailingSince;
        }
        readsFailingSince = NOT_FAILING;
        return bytesRead;
    }

    /**
     * Reads again at once, which distinguishes a broken connection from a transient failure; schedules a further retry
     * if that fails too.
     */
    private int retryFailedRead(ByteBuf buffer, IOException failure) throws Exception {
        counters.recordIoFailure("read", failure);
        int bytesRead;
        try {
            bytesRead = readRetryingInterrupts(buffer);
        } catch (IOException e) {
            scheduleReadRetry();
            if (Clock.now() - readsFailingSince >= retryTimeouts.readNs) {
                throw e;
            }
            return 0;
        }
        if (bytesRead == END_OF_STREAM) {
            throw failure;
        }
        return bytesRead;
    }

    private void scheduleReadRetry() {
        readsFailingSince = readsFailingSince == NOT_FAILING ? Clock.now() : readsFailingSince;
        if (isReadPaused) {
            return;
        }
        isReadPaused = true;
        SelectionKey key = selectionKey();
        key.interestOps(key.interestOps() & ~readInterestOp);
        eventLoop().schedule(this::resumeReads, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Called by Netty at the end of each read, even a failed one, to register for the next. */
    @Override
    protected void doBeginRead() throws Exception {
        if (!isReadPaused) {
            super.doBeginRead();
        }
    }

    private void resumeReads() {
        isReadPaused = false;
        if (isOpen() && config().isAutoRead()) {
            unsafe().beginRead();
            // Called without a selector event: there is none if no input has arrived, and the channel would remain in
            // its failing state.
            unsafe().read();
        } else {
            readsFailingSince = NOT_FAILING;
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        try {
            super.doWrite(buffer);
            writesFailingSince = NOT_FAILING;
        } catch (ClosedChannelException e) {
            throw e;
        } catch (IOException | OutOfMemoryError e) {
            writesFailingSince = writesFailingSince == NOT_FAILING ? Clock.now() : writesFailingSince;
            if (Clock.now() - writesFailingSince >= retryTimeouts.writeNs) {
                throw e;
            }
            counters.recordIoFailure("write", e);
            scheduleWriteRetry();
        }
    }

    /** Retries the write after a delay; meanwhile, reads detect whether the connection is broken. */
    private void scheduleWriteRetry() {
        // Prevents the selector from reporting the socket as writable repeatedly while the call fails.
        clearOpWrite();
        if (!isWriteRetryScheduled) {
            isWriteRetryScheduled = true;
            eventLoop().schedule(this::flushAgain, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void flushAgain() {
        isWriteRetryScheduled = false;
        if (isOpen()) {
            unsafe().forceFlush();
        }
    }

    /** Called when the selector reports the connection ready, so only an interrupted call returns false. */
    @Override
    protected void doFinishConnect() throws Exception {
        for (int i = 0; i < MAX_FINISH_CONNECT_TRIES; i++) {
            if (javaChannel().finishConnect()) {
                return;
            }
        }
        throw new ConnectException("interrupted while connecting");
    }
}
