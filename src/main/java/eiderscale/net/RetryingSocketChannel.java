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
 * (ENOMEM, ENOBUFS), and errors that only this end sees (ETIMEDOUT, EHOSTUNREACH). A broken connection reports its
 * error once and the end of the stream on the next read, so a second read tells it from a transient failure.
 */
class RetryingSocketChannel extends NioSocketChannel {
    /** What a read returns at the end of the stream; the JDK returns a lower value for an interrupted call. */
    private static final int END_OF_STREAM = -1;
    /** Immediate retries of an interrupted read; after these it is retried with a delay. */
    private static final int MAX_INTERRUPTED_READ_RETRIES = 8;
    /** Calls that may be interrupted by signals before a connect is given up. */
    private static final int MAX_FINISH_CONNECT_TRIES = 64;
    private static final int RETRY_DELAY_MS = 5;
    private static final long NOT_FAILING = Long.MIN_VALUE;

    /** How long, in nanoseconds, all reads or all writes of a connection may fail before it is closed. */
    record RetryTimeouts(long readNs, long writeNs) {
    }

    private final RetryTimeouts retryTimeouts;
    private final Counters counters;
    private long readsFailingSince = NOT_FAILING;
    private long writesFailingSince = NOT_FAILING;
    /** See {@link #getAndResetReadDelayNs}. */
    private long readDelayNs;
    /** Whether reading is suspended until {@link #resumeReads} runs. */
    private boolean isReadPaused;
    private boolean isWriteRetryScheduled;

    /** Opens a socket; throws a {@link io.netty.channel.ChannelException} if none is available. */
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

    /** The longest time that input read since the last call of this can have waited because reads failed. */
    long getAndResetReadDelayNs() {
        long delayNs = readDelayNs;
        readDelayNs = 0;
        return delayNs;
    }

    private int readRetryingInterrupts(ByteBuf buffer) throws Exception {
        int read = super.doReadBytes(buffer);
        // Retried at once, as the end of the stream may be unread: no request is started for a client that left.
        for (int i = 0; read < END_OF_STREAM && i < MAX_INTERRUPTED_READ_RETRIES; i++) {
            read = super.doReadBytes(buffer);
        }
        if (read < END_OF_STREAM) {
            scheduleReadRetry();
            return 0;
        }
        if (read > 0 && readsFailingSince != NOT_FAILING) {
            readDelayNs += Clock.now() - readsFailingSince;
        }
        readsFailingSince = NOT_FAILING;
        return read;
    }

    /**
     * Reads again at once, which tells a broken connection from a transient failure; schedules a further retry if that
     * fails too.
     */
    private int retryFailedRead(ByteBuf buffer, IOException failure) throws Exception {
        counters.recordIoFailure("read", failure);
        int read;
        try {
            read = readRetryingInterrupts(buffer);
        } catch (IOException e) {
            scheduleReadRetry();
            if (Clock.now() - readsFailingSince >= retryTimeouts.readNs) {
                throw e;
            }
            return 0;
        }
        if (read == END_OF_STREAM) {
            throw failure;
        }
        return read;
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

    /** Called by Netty at the end of each read, also of failed ones, to register for the next. */
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
            // Without input the selector reports nothing, and the failure would never end.
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
        } catch (IOException e) {
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
        // Keeps the selector from reporting the socket as writable over and over while the call fails.
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

    /** Called when the selector reports the connection ready, so only an interrupted call finds it unfinished. */
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
