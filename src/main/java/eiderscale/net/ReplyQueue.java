package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The replies of one client connection, in the order of its commands. They are kept on the heap, as the values that
 * were read, and copied to direct memory in pieces, as the client reads them. All methods must be called on the event
 * loop.
 */
final class ReplyQueue {
    /** The owner of the connection. */
    interface Listener {
        /** Called when a reply is complete, or when more of the replies can be written. */
        void onReplyReady();

        /** Whether the client may have disconnected without that being seen. */
        default boolean mayClientHaveLeft() {
            return false;
        }
    }

    /** Heap memory of an entry without its reply, in bytes. */
    private static final int ENTRY_BYTES = 256;
    private static final int CHUNK_BYTES = 16 * 1024;
    /** Size of a piece while much is being written on all connections together. */
    private static final int SMALL_CHUNK_BYTES = 4 * 1024;
    /** Values up to this size are not worth dropping. */
    private static final int MIN_DROPPABLE_BYTES = 1024;
    private static final long WRITE_RETRY_DELAY_MS = 5;
    /** The reply in place of a value that was dropped: the read may have run. */
    private static final String FAILED_REPLY = "SERVER_ERROR failed\r\n";

    private final Channel channel;
    private final ReplyMemory memory;
    private final Counters counters;
    private final Listener listener;
    /** The entries are linked to each other: adding one allocates nothing, and so cannot fail half-way. */
    private PendingReply head;
    private PendingReply tail;
    private int size;
    /** The last entry while it stands for the rejections of successive commands; null otherwise. */
    private PendingReply rejections;
    /** Entries without a reply. */
    private int inProgressCount;
    /** Heap memory of the complete replies in the queue, in bytes. */
    private int replyBytes;
    /** Bytes of the pieces that were written to the socket completely. */
    private long writtenBytes;
    /** The bytes written at the last call of {@link #lastProgressAt}. */
    private long lastSeenWrittenBytes;
    /** The result of the last call of {@link #lastProgressAt}; before, when the connection was accepted. */
    private long lastProgressAt = Clock.now();
    /** Pieces passed to the channel but not yet written to the socket. */
    private int pendingChunks;
    private boolean isWriting;
    private boolean isWriteScheduled;
    private boolean isClosed;

    ReplyQueue(Channel channel, ReplyMemory memory, Counters counters, Listener listener) {
        this.channel = channel;
        this.memory = memory;
        this.counters = counters;
        this.listener = listener;
    }

    /**
     * Appends an entry for a command.
     *
     * @param command null if the reply does not depend on it
     * @param receivedAt when the last byte of the command was received, in nanoseconds of {@link Clock}
     */
    PendingReply add(MetaFrame command, long receivedAt) {
        PendingReply pending = new PendingReply(this, command, receivedAt);
        if (head == null) {
            memory.register(this);
        }
        append(pending);
        rejections = null;
        memory.add(ENTRY_BYTES);
        inProgressCount++;
        if (pending.isRead) {
            memory.onReadStarted();
        }
        return pending;
    }

    private void append(PendingReply pending) {
        pending.previous = tail;
        if (tail == null) {
            head = pending;
        } else {
            tail.next = pending;
        }
        tail = pending;
        size++;
    }

    private void removeHead() {
        PendingReply removed = head;
        head = removed.next;
        if (head == null) {
            tail = null;
        } else {
            head.previous = null;
        }
        size--;
        releaseEntry(removed);
    }

    /** Completes an entry. Has no effect if it has its reply already or the connection is closed. */
    void complete(PendingReply pending, String line, byte[] data) {
        if (isClosed || pending.reply != null) {
            return;
        }
        setReply(pending, EncodedReply.of(line, data));
        notifyListener();
    }

    /** Calls the listener. If it fails, the reply stays in the queue, and the call is repeated after a short delay. */
    private void notifyListener() {
        try {
            listener.onReplyReady();
        } catch (Throwable e) {
            Counters.log("unexpected exception while writing replies", e);
            scheduleWrite(WRITE_RETRY_DELAY_MS);
        }
    }

    private void setReply(PendingReply pending, EncodedReply reply) {
        onCompleted(pending);
        if (pending.isRead) {
            memory.recordReadReply(reply.memoryBytes());
        }
        pending.reply = reply;
        pending.completedAt = Clock.now();
        addReplyBytes(reply.memoryBytes());
    }

    private void onCompleted(PendingReply pending) {
        inProgressCount--;
        if (pending.isRead) {
            memory.onReadEnded();
        }
    }

    private void addReplyBytes(int bytes) {
        replyBytes += bytes;
        memory.add(bytes);
    }

    /**
     * Appends the rejection of a command. Those of successive commands share an entry, whose memory does not grow with
     * their number.
     */
    void reject() {
        if (rejections != null) {
            rejections.reply.addCopy();
            return;
        }
        EncodedReply reply = EncodedReply.of(Command.BUSY_REPLY, null);
        PendingReply pending = add(null, Clock.now());
        setReply(pending, reply);
        rejections = pending;
    }

    boolean isEmpty() {
        return head == null;
    }

    int size() {
        return size;
    }

    /** Whether the client may have disconnected without that being seen. */
    boolean mayClientHaveLeft() {
        return listener.mayClientHaveLeft();
    }

    /** Returns the number of commands without a reply. */
    int inProgressCount() {
        return inProgressCount;
    }

    /** Whether pieces of replies are passed to the channel but not yet written to the socket. */
    boolean isBeingWritten() {
        return pendingChunks > 0;
    }

    /**
     * Returns when the last bytes were written to the socket, as far as the calls of this method show; {@code now} if
     * nothing is being written.
     */
    long lastProgressAt(long now) {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        long bytes = writtenBytes + (outbound == null ? 0 : outbound.currentProgress());
        if (pendingChunks == 0 || bytes != lastSeenWrittenBytes) {
            lastSeenWrittenBytes = bytes;
            lastProgressAt = now;
        }
        return lastProgressAt;
    }

    /** Returns the opaque tokens of the requests in progress, for the log. */
    List<String> openRequestOpaques() {
        List<String> opaques = new ArrayList<>();
        for (PendingReply pending = head; pending != null; pending = pending.next) {
            if (pending.reply == null && pending.exchange != null) {
                opaques.add(pending.exchange.command.opaque);
            }
        }
        return opaques;
    }

    /** Returns the bytes of replies that wait for an earlier one. */
    int waitingBytes() {
        return head == null || head.reply == null ? replyBytes : replyBytes - head.reply.memoryBytes();
    }

    /**
     * Answers the last command whose value waits for an earlier reply as failed, and frees the value. Returns false if
     * no value waits.
     */
    boolean dropLastWaitingValue() {
        for (PendingReply pending = tail; pending != head; pending = pending.previous) {
            if (pending.reply != null && pending.reply.dataBytes() > MIN_DROPPABLE_BYTES) {
                EncodedReply failed = EncodedReply.of(FAILED_REPLY, null);
                addReplyBytes(failed.memoryBytes() - pending.reply.memoryBytes());
                pending.reply = failed;
                return true;
            }
        }
        return false;
    }

    /**
     * Writes the complete replies at the head of the queue, up to the first command in progress, as far as the channel
     * takes them; {@link Listener#onReplyReady} is called when it takes more.
     */
    void write() {
        if (isWriting || isClosed) {
            return;
        }
        isWriting = true;
        boolean hasWritten = false;
        try {
            while (isHeadComplete() && mayWriteChunk()) {
                writeChunk();
                hasWritten = true;
            }
        } catch (OutOfMemoryError e) {
            // Nothing of the piece was written: it is tried again when other writes may have freed direct memory.
            Counters.log("no memory to write a reply", e);
            scheduleWrite(WRITE_RETRY_DELAY_MS);
        } finally {
            isWriting = false;
        }
        if (hasWritten) {
            channel.flush();
        }
    }

    private boolean isHeadComplete() {
        return head != null && head.reply != null;
    }

    private boolean mayWriteChunk() {
        return memory.isWritingScarce() ? pendingChunks == 0 : channel.isWritable();
    }

    private void writeChunk() {
        PendingReply written = head;
        rejections = written == rejections ? null : rejections;
        long writeStartedAt = Clock.now();
        int maxBytes = memory.isWritingScarce() ? SMALL_CHUNK_BYTES : CHUNK_BYTES;
        int length = (int) Math.min(written.reply.remainingBytes(), maxBytes);
        ByteBuf chunk = channel.alloc().directBuffer(length);
        written.reply.writeTo(chunk, length);
        boolean isLast = written.reply.remainingBytes() == 0;
        if (isLast) {
            removeHead();
        }
        pendingChunks++;
        memory.onWriteStarted(length);
        channel.write(chunk).addListener(done -> {
            memory.onWriteEnded(length);
            pendingChunks--;
            writtenBytes += length;
            if (!done.isSuccess()) {
                channel.close(); // Without this piece the replies behind it must not be sent.
            }
            if (isLast) {
                counters.recordReplyWrite(writeStartedAt - written.completedAt, Clock.now() - written.completedAt);
            }
            if (isHeadComplete() && mayWriteChunk()) {
                scheduleWrite(0);
            }
        });
    }

    /** Schedules a call of the listener, as more of the replies can be written then. */
    private void scheduleWrite(long delayMs) {
        if (!isWriteScheduled) {
            isWriteScheduled = true;
            channel.eventLoop().schedule(() -> {
                isWriteScheduled = false;
                notifyListener();
            }, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Empties the queue of a closed connection, and reports that the client of its open requests has gone. */
    void close(Balancer balancer) {
        isClosed = true;
        while (head != null) {
            PendingReply pending = head;
            removeHead();
            if (pending.reply == null && pending.exchange != null) {
                balancer.onClientDisconnect(pending.exchange);
            }
        }
        memory.unregister(this);
    }

    /** Releases the memory of an entry that leaves the queue. A reply is on the heap until its last piece is copied. */
    private void releaseEntry(PendingReply pending) {
        if (head == null) {
            memory.unregister(this);
        }
        memory.release(ENTRY_BYTES);
        if (pending.reply != null) {
            addReplyBytes(-pending.reply.memoryBytes());
        } else {
            onCompleted(pending);
        }
    }
}
