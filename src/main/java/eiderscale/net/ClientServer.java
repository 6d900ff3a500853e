package eiderscale.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Server for client connections: decodes pipelined commands and writes the replies in the order of the commands.
 *
 * <p>Limits per connection and in total bound the commands in progress, the undecoded input and the unsent replies.
 * Clients are disconnected if they do not complete a command in time, or read nothing of their replies for long while
 * memory is scarce; idle ones are disconnected when new connections need their place. All methods must be called on the
 * event loop.
 */
final class ClientServer {
    /** Maximum commands of one connection in progress; further input is buffered undecoded or rejected. */
    private static final int MAX_COMMANDS_IN_PROGRESS = 64;
    /** The same for all commands whose reply has not been written, as it waits for an earlier one. */
    private static final int MAX_PIPELINED_COMMANDS = 1024;
    /** Waiting replies of one connection above which it starts no further command. */
    private static final int MAX_WAITING_REPLY_BYTES = 4 * 1024 * 1024;
    /**
     * Maximum undecoded input buffered over all connections. Above it, connections that buffer more than
     * {@link #MIN_BUFFER_BYTES_PER_CONNECTION} are not read from.
     */
    private static final long MAX_TOTAL_BUFFERED_BYTES = 4L * 1024 * 1024;
    /** Undecoded input that a connection may buffer even while the total is exceeded. */
    private static final int MIN_BUFFER_BYTES_PER_CONNECTION = 32 * 1024;
    /** Undecoded input that a connection may buffer even while the memory is used up. */
    private static final int MIN_BUFFER_BYTES_WITHOUT_MEMORY = 4 * 1024;
    /**
     * Maximum rejections queued on a connection to reduce its buffered input. Above it, no more are added, and as long
     * as the input exceeds its limit the connection is not read from.
     */
    private static final int MAX_REJECTION_BYTES = 256 * 1024;
    /** A connection that has been idle for less is not evicted: a request may be in transit and would be lost. */
    private static final long EVICTION_MIN_IDLE_NS = 2 * Clock.SECOND;
    /**
     * The same for a connection that has received no command yet. A client has no reason to wait with its first
     * command, so this is shorter.
     */
    private static final long EVICTION_MIN_IDLE_UNUSED_NS = 500 * Clock.MILLISECOND;
    /** A peer that has sent no complete command by then is disconnected; this is required within 3 s. */
    private static final long FIRST_COMMAND_TIMEOUT_MS = 2_500;
    /** Lower bound of that timeout after deducting the time that failing accept calls delayed the connection. */
    private static final long MIN_FIRST_COMMAND_TIMEOUT_MS = 100;
    /** A client that sends nothing for this long within a command gets an error reply and is disconnected. */
    private static final long INCOMPLETE_COMMAND_TIMEOUT_MS = 2_500;
    /** How long the client may take to close the connection after our FIN, before it is closed here. */
    private static final long LINGER_TIMEOUT_MS = 1_000;
    /** How long the client may take to read the last replies, which are written before our FIN. */
    private static final long FINAL_FLUSH_TIMEOUT_MS = 10_000;
    /** How long a client may read nothing of the replies that are being written to it while memory is scarce. */
    private static final long STALLED_WRITE_TIMEOUT_NS = 10 * Clock.SECOND;
    private static final long NO_BACKLOG = Long.MAX_VALUE;
    private static final long DECODE_RETRY_DELAY_MS = 5;
    private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
            new WriteBufferWaterMark(32 * 1024, 128 * 1024);

    private final Balancer balancer;
    private final EventLoop loop;
    private final Counters counters;
    private final int maxConnections;
    private final int maxOverLimitConnections;
    private final Acceptor acceptor;
    private final MemoryBudget memoryBudget;
    private final ReplyMemory replyMemory;
    /** Connections that are neither lingering nor closed. */
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Connections with no command in progress, the longest idle first. */
    private final Set<Connection> idleConnections = new LinkedHashSet<>();
    /** Connections in state {@link State#LINGERING}, the oldest first. */
    private final Set<Connection> lingeringConnections = new LinkedHashSet<>();
    /** Connections that do not decode further commands for lack of memory, the longest waiting first. */
    private final Set<Connection> connectionsAwaitingMemory = new LinkedHashSet<>();
    private boolean isMemoryCheckScheduled;
    /** Bytes of undecoded input, over all connections. */
    private long totalBufferedBytes;
    /** Commands rejected so far because the limits on buffered input were exceeded. */
    private long rejectedCommands;
    private boolean isClosing;

    /**
     * Creates a server that does not listen yet.
     *
     * @param maxConnections connections on which requests are served
     * @param maxOverLimitConnections connections above that limit that are kept open only to reject their requests;
     *         beyond these, new connections are closed at once
     */
    ClientServer(Balancer balancer, EventLoop loop, Counters counters, MemoryBudget memoryBudget, int maxConnections,
                 int maxOverLimitConnections) {
        this.balancer = balancer;
        this.memoryBudget = memoryBudget;
        this.replyMemory = new ReplyMemory(memoryBudget);
        this.loop = loop;
        this.counters = counters;
        this.maxConnections = maxConnections;
        this.maxOverLimitConnections = maxOverLimitConnections;
        this.acceptor = new Acceptor(loop, counters, this::initChannel);
    }

    /** Binds the listening socket; may be called again after a failure. */
    ChannelFuture listen(InetSocketAddress address) {
        return acceptor.listen(address);
    }

    private void initChannel(ListeningChannel.AcceptedChannel channel) {
        channel.config().setRecvByteBufAllocator(new DrainingRecvByteBufAllocator());
        channel.config().setWriteBufferWaterMark(WRITE_BUFFER_WATER_MARK);
        Connection connection = new Connection(channel);
        channel.pipeline().addLast(connection.decoder, connection);
    }

    /** Stops accepting connections, and ends each connection once all its replies have been written. */
    void close() {
        isClosing = true;
        acceptor.close();
        for (Connection connection : List.copyOf(connections)) {
            connection.state = State.DRAINING;
            connection.updateFlowControl();
        }
    }

    /**
     * If memory is scarce, closes the connections whose client has read nothing for
     * {@link #STALLED_WRITE_TIMEOUT_NS} although replies are being written to it. Called periodically.
     */
    void closeStalledConnections() {
        long now = Clock.now();
        for (Connection connection : List.copyOf(connections)) {
            boolean isStalled = now - connection.replies.lastProgressAt(now) >= STALLED_WRITE_TIMEOUT_NS;
            if (isStalled && replyMemory.isScarce()) {
                counters.stalledClients++;
                connection.close();
            }
        }
    }

    /** Whether the listening socket and all connections are closed. */
    boolean isTerminated() {
        return acceptor.isClosed() && connectionCount() == 0;
    }

    /** Returns the number of connections that are not closed, lingering ones included. */
    int connectionCount() {
        return connections.size() + lingeringConnections.size();
    }

    /** Returns the current values for the metrics line. */
    String gauges() {
        return "clients " + connectionCount() + " shed " + rejectedCommands + " " + replyMemory.gauges();
    }

    private enum State {
        /** Requests are served. */
        OPEN,
        /** Accepted above the connection limit: its first request is rejected and the connection drained. */
        OVER_LIMIT,
        /** New requests are rejected; the connection ends when all replies have been written. */
        DRAINING,
        /**
         * Lingering close: our FIN follows the last reply, and input is discarded until the client closes. Closing
         * the socket with unread input would send a reset, which can destroy the reply in transit.
         */
        LINGERING,
        CLOSED
    }

    /** Lets connections that wait for memory decode further commands, now that some was freed. */
    private void resumeConnectionsAwaitingMemory() {
        if (connectionsAwaitingMemory.isEmpty() || isMemoryCheckScheduled
                || !replyMemory.hasRoomForPipelinedCommand()) {
            return;
        }
        isMemoryCheckScheduled = true;
        loop.execute(() -> {
            isMemoryCheckScheduled = false;
            for (Connection connection : List.copyOf(connectionsAwaitingMemory)) {
                connection.updateFlowControl();
            }
        });
    }

    /** One client connection; also the last handler of its channel's pipeline. */
    private final class Connection extends SimpleChannelInboundHandler<MetaFrame> {
        private final RetryingSocketChannel channel;
        final MetaDecoder decoder = MetaDecoder.forCommands(memoryBudget, this::receivedAt, this::onInputBuffered);
        /** One entry per command, in the order of arrival. */
        private final ReplyQueue replies;
        /** Entries for the commands of the current read, which are processed once it is complete. */
        private final List<PendingReply> readBatch = new ArrayList<>();
        private State state = State.OPEN;
        /**
         * Set from the first command of a read until all its commands are processed. Until then no reply is written
         * and the connection is not ended. The commands are processed together once it is known whether the read
         * reached the end of the stream: no request is started for a client that has disconnected.
         */
        private boolean isReadBatchPending;
        /** Whether {@link #resumeDecoding} is queued as a task of the event loop. */
        private boolean isResumeScheduled;
        /** Whether a complete command was received, valid or not. */
        private boolean hasReceivedFrame;
        /** Whether a readiness probe ({@code mn}), a well-formed request or one rejected unparsed was received. */
        private boolean hasReceivedValidCommand;
        /** Closes the connection of a peer that sends no complete command. */
        private Future<?> firstCommandTimer;
        /** Ends the connection if the rest of a command does not arrive in time; null while not running. */
        private Future<?> incompleteCommandTimer;
        /** When the last read was complete, in nanoseconds of {@link Clock}. */
        private long lastReadAt;
        /** Bounds the state {@link State#LINGERING}. */
        private Future<?> lingerTimer;
        /** Since when the connection has been idle, in nanoseconds of {@link Clock}; valid while it is. */
        private long idleSince;
        /** How long the input of the current or next read may have waited because accept or read calls failed. */
        private long receiveDelayNs;
        /** Whether input has been received since {@link #channelReadComplete}. */
        private boolean hasReceivedInput;
        /**
         * Since when input may have waited in the socket because reading was paused, in nanoseconds of {@link Clock};
         * {@link #NO_BACKLOG} if it was read completely since.
         */
        private long backlogSince = NO_BACKLOG;
        /** This connection's part in {@link #totalBufferedBytes}. */
        private int countedBufferedBytes;

        Connection(ListeningChannel.AcceptedChannel channel) {
            this.channel = channel;
            this.replies = new ReplyQueue(channel, replyMemory, counters, this::writeReadyReplies);
            this.receiveDelayNs = channel.acceptDelayNs;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= maxConnections + maxOverLimitConnections) {
                state = State.CLOSED;
                counters.rejectedClients++;
                ctx.close();
                return;
            }
            if (isClosing) {
                state = State.DRAINING;
            } else if (connections.size() >= maxConnections && !evictIdleConnection()) {
                state = State.OVER_LIMIT;
            }
            connections.add(this);
            markIdle();
            firstCommandTimer = loop.schedule(() -> {
                if (!hasReceivedFrame) {
                    counters.silentClients++;
                    channel.close();
                }
            }, Math.max(MIN_FIRST_COMMAND_TIMEOUT_MS, FIRST_COMMAND_TIMEOUT_MS - receiveDelayNs / Clock.MILLISECOND),
                    TimeUnit.MILLISECONDS);
        }

        /** Returns when the input that is being read was received at the latest, as far as this process can know. */
        private long receivedAt() {
            hasReceivedInput = true;
            receiveDelayNs += channel.getAndResetReadDelayNs();
            return Math.min(Clock.now() - receiveDelayNs, backlogSince);
        }

        /** Notes whether the read that is complete has left input in the socket. */
        private void updateBacklog() {
            if (!hasReceivedInput) {
                return;
            }
            hasReceivedInput = false;
            receiveDelayNs = 0;
            if (channel.config().isAutoRead() && channel.unsafe().recvBufAllocHandle().lastBytesRead() <= 0) {
                backlogSince = NO_BACKLOG;
            }
            noteIfReadingIsPaused();
        }

        private void noteIfReadingIsPaused() {
            if (!channel.config().isAutoRead()) {
                backlogSince = Math.min(backlogSince, Clock.now());
            }
        }

        private void markIdle() {
            if (idleConnections.add(this)) {
                idleSince = Clock.now();
            }
        }

        /**
         * Ends the longest idle connection that may be evicted; returns whether there was one. If more than
         * {@link #maxOverLimitConnections} are lingering then, the oldest of these is closed, so that evicted
         * connections do not use up the sockets.
         */
        private boolean evictIdleConnection() {
            long now = Clock.now();
            for (Connection candidate : idleConnections) {
                if (!candidate.replies.isBeingWritten()
                        && now - candidate.idleSince >= candidate.minIdleBeforeEvictionNs()) {
                    counters.evictedClients++;
                    candidate.startLingeringClose();
                    if (lingeringConnections.size() > maxOverLimitConnections) {
                        lingeringConnections.iterator().next().close();
                    }
                    return true;
                }
            }
            return false;
        }

        /**
         * Returns how long the connection must have been idle to be evicted: 0 after invalid commands only, as such a
         * peer may be evicted as soon as it has its error replies.
         */
        private long minIdleBeforeEvictionNs() {
            return hasReceivedValidCommand ? EVICTION_MIN_IDLE_NS
                    : hasReceivedFrame ? 0 : EVICTION_MIN_IDLE_UNUSED_NS;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaFrame frame) {
            isReadBatchPending = true;
            idleConnections.remove(this);
            hasReceivedFrame = true;
            if (decoder.isRejecting() && !frame.tokenIs(0, "quit") || state == State.DRAINING && frame.isRequest()) {
                reject(frame);
            } else {
                readBatch.add(replies.add(frame, decoder.frameReceivedAt()));
            }
            if (isWindowFull()) {
                decoder.pause();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            updateBacklog();
            if (isReadBatchPending) {
                // Deferred: if the read reached the end of the stream, Netty closes the channel right after this
                // event and before the tasks of the event loop run.
                loop.execute(this::processReadBatch);
            } else {
                writeReadyReplies();
                startIncompleteCommandTimer();
            }
        }

        /** Processes the commands of the last read in their order; none if the client has closed the connection. */
        private void processReadBatch() {
            if (!channel.isOpen()) {
                return; // The read reached the end of the stream; channelInactive follows.
            }
            readBatch.forEach(this::processOrReject);
            readBatch.clear();
            isReadBatchPending = false;
            writeReadyReplies();
            startIncompleteCommandTimer();
        }

        /**
         * Starts the timer if the last read ended within a command and the timer is not running. The first command of
         * a connection is covered by {@link #firstCommandTimer} instead.
         */
        private void startIncompleteCommandTimer() {
            lastReadAt = Clock.now();
            if (incompleteCommandTimer == null && hasReceivedFrame && decoder.hasIncompleteFrame()) {
                incompleteCommandTimer = loop.schedule(this::checkIncompleteCommand, INCOMPLETE_COMMAND_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
            }
        }

        /**
         * Ends the connection if a command is incomplete and no input has arrived within the timeout; if some has,
         * restarts the timer for the remaining time.
         */
        private void checkIncompleteCommand() {
            incompleteCommandTimer = null;
            if (state == State.LINGERING || state == State.CLOSED || !decoder.hasIncompleteFrame()) {
                return;
            }
            long remainingMs = INCOMPLETE_COMMAND_TIMEOUT_MS - (Clock.now() - lastReadAt) / Clock.MILLISECOND;
            if (remainingMs > 0) {
                incompleteCommandTimer = loop.schedule(this::checkIncompleteCommand, remainingMs,
                        TimeUnit.MILLISECONDS);
                return;
            }
            counters.malformedCommands++;
            state = State.DRAINING;
            decoder.discardInput();
            replies.add(null, lastReadAt).reply("CLIENT_ERROR incomplete command\r\n", null);
        }

        /** Processes a command; if that fails before it is a request, it is rejected, and others are not affected. */
        private void processOrReject(PendingReply pending) {
            try {
                process(pending);
            } catch (Throwable e) {
                Counters.log("unexpected exception while processing a command", e);
                if (pending.exchange == null) {
                    pending.reply(Command.BUSY_REPLY, null);
                }
            }
        }

        private void process(PendingReply pending) {
            MetaFrame frame = pending.command;
            pending.command = null;
            if (decoder.isDiscarding()) {
                replies.remove(pending);
            } else if (frame.isValueDropped()) {
                hasReceivedValidCommand = true;
                counters.localRefusals++;
                pending.reply(Command.BUSY_REPLY, null);
            } else if (frame.protocolError() != null) {
                counters.malformedCommands++;
                pending.reply(frame.protocolError() + "\r\n", null);
            } else {
                process(pending, frame);
            }
        }

        /**
         * Rejects a command because the input buffered behind the commands in progress exceeds its limit, or the
         * connection is to end. The rejection keeps its place in the order of replies.
         */
        private void reject(MetaFrame frame) {
            hasReceivedValidCommand |= frame.isRequest();
            counters.localRefusals++;
            rejectedCommands++;
            replies.reject();
        }

        /** Whether no further command may be started until earlier ones have their replies. */
        private boolean isWindowFull() {
            if (state != State.OPEN) {
                // Requests are rejected, which needs no others to end.
                return replies.size() >= MAX_PIPELINED_COMMANDS || !mayQueueRejection();
            }
            return replies.inProgressCount() >= MAX_COMMANDS_IN_PROGRESS || replies.size() >= MAX_PIPELINED_COMMANDS
                    || replies.waitingBytes() >= MAX_WAITING_REPLY_BYTES || isAwaitingMemory();
        }

        /**
         * Whether there is no memory for the reply to a further command. A command that no other precedes is always
         * started: its reply can be written as soon as it arrives.
         */
        private boolean isAwaitingMemory() {
            return !replies.isEmpty() && !replyMemory.hasRoomForPipelinedCommand();
        }

        /** Whether this connection buffers too much undecoded input, by itself or while the total is over its limit. */
        private boolean isBufferLimitExceeded() {
            if (!replyMemory.hasRoomForInput()) {
                return decoder.bufferedBytes() > MIN_BUFFER_BYTES_WITHOUT_MEMORY;
            }
            return decoder.isBufferFull() || totalBufferedBytes > MAX_TOTAL_BUFFERED_BYTES
                    && decoder.bufferedBytes() > MIN_BUFFER_BYTES_PER_CONNECTION;
        }

        /** Whether buffered commands have to be rejected for reading to continue. */
        private boolean mustRejectBuffered() {
            return isBufferLimitExceeded() && isWindowFull() && mayQueueRejection();
        }

        private boolean mayQueueRejection() {
            return replies.rejectionBytes() < MAX_REJECTION_BYTES && replyMemory.hasRoomForInput();
        }

        /** Stops reading at the limits, within a read already: many connections may have much input at once. */
        private void onInputBuffered() {
            updateBufferedBytes(decoder.bufferedBytes());
            if (isBufferLimitExceeded()) {
                channel.config().setAutoRead(false);
            }
        }

        private void updateBufferedBytes(int bytes) {
            totalBufferedBytes += bytes - countedBufferedBytes;
            memoryBudget.add(bytes - countedBufferedBytes);
            countedBufferedBytes = bytes;
        }

        private void process(PendingReply pending, MetaFrame frame) {
            switch (frame.tokens().get(0)) {
                case "mg", "ms" -> processRequest(pending, frame);
                case "mn" -> {
                    hasReceivedValidCommand = true;
                    pending.reply("MN\r\n", null);
                }
                case "quit" -> {
                    // Commands after quit are discarded.
                    replies.remove(pending);
                    state = State.DRAINING;
                    decoder.discardInput();
                }
                default -> {
                    counters.malformedCommands++;
                    pending.reply("ERROR\r\n", null);
                }
            }
        }

        private void processRequest(PendingReply pending, MetaFrame frame) {
            if (state != State.OPEN) {
                hasReceivedValidCommand = true;
                counters.localRefusals++;
                state = State.DRAINING;
                pending.reply(Command.BUSY_REPLY, null);
                return;
            }
            try {
                Command command = new Command(frame, balancer.site());
                hasReceivedValidCommand = true;
                pending.exchange = balancer.submit(command, pending, pending.receivedAt);
            } catch (Command.MalformedCommandException e) {
                counters.malformedCommands++;
                pending.reply(e.getMessage() + "\r\n", null);
            }
        }

        /** Writes the complete replies at the head of the queue, up to the first command in progress. */
        void writeReadyReplies() {
            if (isReadBatchPending || state == State.CLOSED) {
                return;
            }
            replies.write();
            resumeConnectionsAwaitingMemory();
            updateFlowControl();
        }

        /**
         * Applies backpressure: pauses or resumes decoding and reading, or ends the connection, depending on the
         * commands in progress, the buffered input and how fast the client reads its replies.
         */
        void updateFlowControl() {
            if (isReadBatchPending || state == State.LINGERING || state == State.CLOSED) {
                return;
            }
            updateBufferedBytes(decoder.bufferedBytes());
            if (replies.isEmpty() && state == State.DRAINING && !decoder.isPaused() && !isResumeScheduled) {
                startLingeringClose();
            } else {
                if (replies.isEmpty()) {
                    markIdle();
                }
                updateMemoryWait();
                if (!channel.isWritable()) {
                    decoder.pause();
                } else if (decoder.isPaused() && !isResumeScheduled
                        && (!isWindowFull() || mustRejectBuffered())) {
                    isResumeScheduled = true;
                    loop.execute(this::resumeDecoding);
                }
                channel.config().setAutoRead(!isBufferLimitExceeded());
                noteIfReadingIsPaused();
            }
        }

        private void updateMemoryWait() {
            if (decoder.isPaused() && isAwaitingMemory()) {
                connectionsAwaitingMemory.add(this);
            } else {
                connectionsAwaitingMemory.remove(this);
            }
        }

        private void resumeDecoding() {
            isResumeScheduled = false;
            ChannelHandlerContext ctx = channel.pipeline().context(decoder);
            if (ctx == null) {
                return; // The channel was closed in the meantime.
            }
            try {
                if (!isWindowFull()) {
                    decoder.resume(ctx);
                } else if (mustRejectBuffered()) {
                    decoder.decodeForRejection(ctx);
                }
            } catch (Throwable e) {
                exceptionCaught(ctx, e);
            }
            channelReadComplete(ctx);
        }

        /** Half-closes once all replies are written, then discards input until the client closes. */
        private void startLingeringClose() {
            state = State.LINGERING;
            updateBufferedBytes(0);
            connections.remove(this);
            idleConnections.remove(this);
            lingeringConnections.add(this);
            decoder.discardInput();
            channel.config().setAutoRead(true);
            lingerTimer = loop.schedule(this::close, FINAL_FLUSH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
                channel.shutdownOutput().addListener(halfClosed -> {
                    if (!halfClosed.isSuccess()) {
                        // Without a FIN the client would not notice, and might send commands that are discarded.
                        close();
                    }
                });
                lingerTimer.cancel(false);
                lingerTimer = loop.schedule(this::close, LINGER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            });
        }

        private void close() {
            channel.close();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            writeReadyReplies();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            state = State.CLOSED;
            updateBufferedBytes(0);
            if (firstCommandTimer != null) {
                firstCommandTimer.cancel(false);
            }
            if (incompleteCommandTimer != null) {
                incompleteCommandTimer.cancel(false);
            }
            if (lingerTimer != null) {
                lingerTimer.cancel(false);
            }
            connections.remove(this);
            lingeringConnections.remove(this);
            idleConnections.remove(this);
            connectionsAwaitingMemory.remove(this);
            replies.close(balancer);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof java.io.IOException) {
                counters.recordBrokenClientConnection(cause, replies.openRequestOpaques());
            } else {
                Counters.log("unexpected exception on a client connection", cause);
            }
            if (cause instanceof OutOfMemoryError) {
                // The input is still there: decoded again when there may be memory.
                decoder.pause();
                loop.schedule(this::resumeDecoding, DECODE_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            } else {
                channel.close();
            }
        }
    }
}
