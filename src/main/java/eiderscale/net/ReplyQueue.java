package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The replies of one client connection, in the order of its commands. They are kept on the heap, as the values that
 * were read, and copied to direct memory in pieces, as the client reads them. All methods must be called on the event
 * loop.
 */
final class ReplyQueue {
    /** Called when a reply is complete, or when more of the replies can be written. */
    interface Listener {
        void onReplyReady();
    }

    /** Heap memory of an entry without its reply, in bytes. */
    private static final int ENTRY_BYTES = 256;
    private static final int CHUNK_BYTES = 16 * 1024;
    /** Size of a piece while much is being written on all connections together. */
    private static final int SMALL_CHUNK_BYTES = 4 * 1024;
    /** Values up to this size are not worth dropping. */
    private static final int MIN_DROPPABLE_BYTES = 1024;
    private static final long WRITE_RETRY_DELAY_MS = 5;
    private static final byte[] CRLF = {'\r', '\n'};
    /** The reply in place of a value that was dropped: the read may have run. */
    private static final byte[] FAILED_REPLY = "SERVER_ERROR failed\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final Channel channel;
    private final ReplyMemory memory;
    private final Counters counters;
    private final Listener listener;
    private final Deque<PendingReply> entries = new ArrayDeque<>();
    /** The last entry while it collects the rejections of successive commands; null otherwise. */
    private PendingReply rejections;
    /** Entries without a reply. */
    private int inProgressCount;
    /** Bytes of the complete replies in the queue. */
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
        rejections = null;
        PendingReply pending = new PendingReply(this, command, receivedAt);
        if (entries.isEmpty()) {
            memory.register(this);
        }
        entries.add(pending);
        memory.add(ENTRY_BYTES);
        inProgressCount++;
        if (pending.isRead) {
            memory.onReadStarted();
        }
        return pending;
    }

    /** Removes an entry that gets no reply. */
    void remove(PendingReply pending) {
        if (entries.remove(pending)) {
            releaseEntry(pending);
        }
    }

    /** Completes an entry. Has no effect if it has its reply already or the connection is closed. */
    void complete(PendingReply pending, String line, byte[] data) {
        if (isClosed || pending.reply != null) {
            return;
        }
        setReply(pending, encode(line, data));
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

    private static ByteBuf encode(String line, byte[] data) {
        byte[] lineBytes = line.getBytes(StandardCharsets.ISO_8859_1);
        return data == null ? Unpooled.wrappedBuffer(lineBytes) : Unpooled.wrappedBuffer(lineBytes, data, CRLF);
    }

    private void setReply(PendingReply pending, ByteBuf reply) {
        onCompleted(pending);
        if (pending.isRead) {
            memory.recordReadReply(reply.readableBytes());
        }
        pending.reply = reply;
        pending.completedAt = Clock.now();
        addReplyBytes(reply.readableBytes());
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

    /** Appends the rejection of a command, to the last entry if that is one of rejections. */
    void reject() {
        if (rejections == null) {
            PendingReply pending = add(null, Clock.now());
            setReply(pending, Unpooled.buffer(Command.BUSY_REPLY.length()));
            rejections = pending;
        }
        rejections.reply.writeCharSequence(Command.BUSY_REPLY, StandardCharsets.ISO_8859_1);
        addReplyBytes(Command.BUSY_REPLY.length());
    }

    /** Returns the bytes of the rejections to which the next one would be added; 0 if it would begin a new entry. */
    int rejectionBytes() {
        return rejections == null ? 0 : rejections.reply.readableBytes();
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    int size() {
        return entries.size();
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
        return entries.stream().filter(pending -> pending.reply == null && pending.exchange != null)
                .map(pending -> pending.exchange.command.opaque).toList();
    }

    /** Returns the bytes of replies that wait for an earlier one. */
    int waitingBytes() {
        PendingReply head = entries.peek();
        return head == null || head.reply == null ? replyBytes : replyBytes - head.reply.writerIndex();
    }

    /**
     * Answers the last command whose value waits for an earlier reply as failed, and frees the value. Returns false if
     * no value waits.
     */
    boolean dropLastWaitingValue() {
        for (Iterator<PendingReply> lastFirst = entries.descendingIterator(); lastFirst.hasNext(); ) {
            PendingReply pending = lastFirst.next();
            if (pending != entries.peek() && pending != rejections && pending.reply != null
                    && pending.reply.readableBytes() > MIN_DROPPABLE_BYTES) {
                addReplyBytes(FAILED_REPLY.length - pending.reply.readableBytes());
                pending.reply = Unpooled.wrappedBuffer(FAILED_REPLY);
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
        return !entries.isEmpty() && entries.peek().reply != null;
    }

    private boolean mayWriteChunk() {
        return memory.isWritingScarce() ? pendingChunks == 0 : channel.isWritable();
    }

    private void writeChunk() {
        PendingReply head = entries.peek();
        rejections = head == rejections ? null : rejections;
        long writeStartedAt = Clock.now();
        int length = Math.min(head.reply.readableBytes(), memory.isWritingScarce() ? SMALL_CHUNK_BYTES : CHUNK_BYTES);
        ByteBuf chunk = channel.alloc().directBuffer(length);
        chunk.writeBytes(head.reply, length);
        boolean isLast = !head.reply.isReadable();
        if (isLast) {
            entries.poll();
            releaseEntry(head);
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
                counters.recordReplyWrite(writeStartedAt - head.completedAt, Clock.now() - head.completedAt);
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
        memory.unregister(this);
        for (PendingReply pending : entries) {
            releaseEntry(pending);
            if (pending.reply == null && pending.exchange != null) {
                balancer.onClientDisconnect(pending.exchange);
            }
        }
        entries.clear();
    }

    /** Releases the memory of an entry that leaves the queue. A reply is on the heap until its last piece is copied. */
    private void releaseEntry(PendingReply pending) {
        if (entries.isEmpty()) {
            memory.unregister(this);
        }
        memory.release(ENTRY_BYTES);
        if (pending.reply != null) {
            addReplyBytes(-pending.reply.writerIndex());
        } else {
            onCompleted(pending);
        }
    }
}
