package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * One client connection: takes commands out of its input one at a time, starts or rejects them, and writes the replies
 * in their order. Every limit is looked at for each command. All methods must be called on the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ReplyQueue.Listener {
    /** Maximum commands in progress; further input is buffered undecoded or rejected. */
    private static final int MAX_COMMANDS_IN_PROGRESS = 64;
    /** The same for all commands whose reply has not been written, as it waits for an earlier one. */
    private static final int MAX_PIPELINED_COMMANDS = 1024;
    /** Waiting replies above which no further command is started. */
    private static final int MAX_WAITING_REPLY_BYTES = 4 * 1024 * 1024;
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
    /** How long a draining connection is kept open to answer what the client goes on sending. */
    private static final long MAX_DRAINING_BACKLOG_NS = Clock.SECOND;
    /**
     * How long input may wait in the socket before the client counts as possibly gone, as its end may be behind that.
     * Attempts must not begin over 100 ms after the end.
     */
    private static final long MAX_UNSEEN_END_NS = 50 * Clock.MILLISECOND;
    private static final long NO_BACKLOG = Long.MAX_VALUE;
    /** The cost of a request, see {@link RoundRobinScheduler.Task#runTurn}. */
    private static final int REQUEST_COST = 8;
    /** Bytes of a line that cost as much to decode as an invalid command. */
    private static final int BYTES_PER_COST_UNIT = 64;
    /** Bytes that cost as much to read as an invalid command to decode. */
    private static final int BYTES_READ_PER_COST_UNIT = 1024;

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

    /** What may be done with the next command. */
    private enum Disposition {
        START,
        /** It is a request for which there is no room, or the connection is to end. */
        REJECT,
        /** It stays undecoded for now. */
        WAIT
    }

    private final ClientServer server;
    private final RetryingSocketChannel channel;
    private final CommandInput input;
    /** One entry per command, in the order of arrival. */
    private final ReplyQueue replies;
    private final RoundRobinScheduler.Task turn = new RoundRobinScheduler.Task() {
        @Override
        int runTurn() {
            return ClientConnection.this.runTurn();
        }
    };
    private State state = State.OPEN;
    /** A command that was decoded while there was no memory to process it, else null. */
    private MetaFrame unprocessedFrame;
    /** Whether commands are being processed; replies that become ready meanwhile are written together. */
    private boolean isInTurn;
    /** Whether the input may hold a complete command that the last turn has left there. */
    private boolean hasUndecodedCommands;
    /** Whether the last turn ended because the next command has to wait. */
    private boolean isWaiting;
    /** Whether the last turn ended within a command that began to arrive. */
    private boolean isHeadIncomplete;
    /** Whether a complete command was received, valid or not. */
    private boolean hasReceivedFrame;
    /** Whether a command was received since the connection was last idle. */
    private boolean hasReceivedFrameSinceIdle = true;
    /** Whether a readiness probe ({@code mn}), a well-formed request or one rejected unparsed was received. */
    private boolean hasReceivedValidCommand;
    /** Closes the connection of a peer that sends no complete command. */
    private Future<?> firstCommandTimer;
    /** Ends the connection if the rest of a command does not arrive in time; null while not running. */
    private Future<?> incompleteCommandTimer;
    /** When input last arrived, in nanoseconds of {@link Clock}. */
    private long lastReadAt;
    /** Bounds the state {@link State#LINGERING}. */
    private Future<?> lingerTimer;
    /** Since when the connection has been idle, in nanoseconds of {@link Clock}; valid while it is. */
    private long idleSince;
    /** How long the input of the current or next read may have waited because accept or read calls failed. */
    private long receiveDelayNs;
    /**
     * Since when input may have waited in the socket because it was not read completely, in nanoseconds of
     * {@link Clock}; {@link #NO_BACKLOG} if it was.
     */
    private long backlogSince = NO_BACKLOG;
    /** The memory of the input that the server has been told of, in bytes. */
    private int countedInputBytes;

    ClientConnection(ClientServer server, ListeningChannel.AcceptedChannel channel) {
        this.server = server;
        this.channel = channel;
        this.input = new CommandInput(server.memoryBudget);
        this.replies = new ReplyQueue(channel, server.replyMemory, server.counters, this);
        this.receiveDelayNs = channel.acceptDelayNs;
    }

    // The life of the connection.

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ClientServer.Admission admission = server.admit(this);
        if (admission == ClientServer.Admission.NONE) {
            state = State.CLOSED;
            ctx.close();
            return;
        }
        state = admission == ClientServer.Admission.SERVED ? State.OPEN
                : admission == ClientServer.Admission.OVER_LIMIT ? State.OVER_LIMIT : State.DRAINING;
        markIdle();
        firstCommandTimer = server.loop.schedule(this::closeIfSilent, Math.max(MIN_FIRST_COMMAND_TIMEOUT_MS,
                FIRST_COMMAND_TIMEOUT_MS - receiveDelayNs / Clock.MILLISECOND), TimeUnit.MILLISECONDS);
    }

    private void closeIfSilent() {
        if (!hasReceivedFrame) {
            server.counters.silentClients++;
            channel.close();
        }
    }

    /** Rejects further requests, and ends the connection once all its replies have been written. */
    void drain() {
        state = State.DRAINING;
        server.scheduler.submit(turn);
    }

    /** Processes what waits in the input, if that is possible now. */
    void resume() {
        if (hasUndecodedCommands) {
            server.scheduler.submit(turn);
        }
    }

    void close() {
        channel.close();
    }

    /** Whether the client has read nothing for long of the replies that are being written to it. */
    boolean isStalled(long now) {
        return now - replies.lastProgressAt(now) >= STALLED_WRITE_TIMEOUT_NS;
    }

    private void markIdle() {
        server.idleConnections.add(this);
        if (hasReceivedFrameSinceIdle) {
            hasReceivedFrameSinceIdle = false;
            idleSince = Clock.now();
        }
    }

    /** Whether the connection, which is idle, has been so for long enough to be ended for a new one. */
    boolean isEvictable(long now) {
        return !replies.isBeingWritten() && now - idleSince >= minIdleBeforeEvictionNs();
    }

    /**
     * Returns how long the connection must have been idle to be evicted: 0 after invalid commands only, as such a
     * peer may be evicted as soon as it has its error replies.
     */
    private long minIdleBeforeEvictionNs() {
        return hasReceivedValidCommand ? EVICTION_MIN_IDLE_NS : hasReceivedFrame ? 0 : EVICTION_MIN_IDLE_UNUSED_NS;
    }

    /** Half-closes once all replies are written, then discards input until the client closes. */
    void startLingeringClose() {
        state = State.LINGERING;
        server.onLingering(this);
        input.discardAll();
        updateInputMemory();
        channel.config().setAutoRead(true);
        lingerTimer = server.loop.schedule(this::close, FINAL_FLUSH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
            channel.shutdownOutput().addListener(halfClosed -> {
                if (!halfClosed.isSuccess()) {
                    // Without a FIN the client would not notice, and might send commands that are discarded.
                    close();
                }
            });
            lingerTimer.cancel(false);
            lingerTimer = server.loop.schedule(this::close, LINGER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        state = State.CLOSED;
        input.discardAll();
        updateInputMemory();
        for (Future<?> timer : new Future<?>[] {firstCommandTimer, incompleteCommandTimer, lingerTimer}) {
            if (timer != null) {
                timer.cancel(false);
            }
        }
        server.onClosed(this);
        replies.close(server.balancer);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        input.discardAll();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            server.counters.recordBrokenClientConnection(cause, replies.openRequestOpaques());
            channel.close();
        } else if (cause instanceof OutOfMemoryError) {
            // Nothing that was received is lost by that.
            server.counters.recordClientFailure(cause);
            server.scheduler.submit(turn);
        } else {
            server.counters.recordClientFailure(cause);
            channel.close();
        }
    }

    // Reading.

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastReadAt = Clock.now();
        server.idleConnections.remove(this);
        boolean isStored = input.append((ByteBuf) message, receivedAt());
        updateInputMemory();
        // Within the read already: many connections may have much input at once.
        if (!isStored || isInputLimitExceeded()) {
            channel.config().setAutoRead(false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        updateBacklog();
        if (state != State.LINGERING && state != State.CLOSED) {
            // Deferred: if the read reached the end of the stream, Netty closes the channel right after this event
            // and before the turn. No request is started for a client that has disconnected.
            server.scheduler.submit(turn);
        }
    }

    /** Returns when the input that is being read was received at the latest, as far as this process can know. */
    private long receivedAt() {
        receiveDelayNs += channel.getAndResetReadDelayNs();
        return Math.min(Clock.now() - receiveDelayNs, backlogSince);
    }

    /** Notes whether the read that is complete may have left input, or the end of the stream, in the socket. */
    private void updateBacklog() {
        receiveDelayNs = 0;
        boolean isDrained = channel.unsafe().recvBufAllocHandle().lastBytesRead() <= 0 && !channel.isReadFailing();
        backlogSince = isDrained ? NO_BACKLOG : Math.min(backlogSince, Clock.now());
    }

    private void setReading(boolean isReading) {
        channel.config().setAutoRead(isReading);
        if (!isReading) {
            backlogSince = Math.min(backlogSince, Clock.now());
        }
    }

    /**
     * Whether the client may have left without that being seen. Not while the replies that are written are not read:
     * the end of such a client resets the connection, so that writes fail.
     */
    @Override
    public boolean mayClientHaveLeft() {
        if (!channel.isWritable() || channel.isWriteFailing()) {
            return channel.isWriteFailing() && !channel.config().isAutoRead();
        }
        return backlogSince != NO_BACKLOG && Clock.now() - backlogSince > MAX_UNSEEN_END_NS;
    }

    private boolean isInputLimitExceeded() {
        return input.undecodedBytes() > server.inputMemory.maxBytesPerConnection(server.connectionCount());
    }

    private void updateInputMemory() {
        int bytes = input.memoryBytes();
        server.inputMemory.add(bytes - countedInputBytes);
        countedInputBytes = bytes;
    }

    // Processing.

    /** Processes commands from the input as far as the limits and the turn allow; returns the cost. */
    private int runTurn() {
        if (state == State.LINGERING || state == State.CLOSED || !channel.isOpen()) {
            return 0;
        }
        int cost = 0;
        hasUndecodedCommands = true; // Until it is known that there are none.
        isInTurn = true;
        try {
            cost = readBacklog();
            cost += processInput(cost);
        } finally {
            isInTurn = false;
        }
        if (!channel.isOpen()) {
            return cost;
        }
        input.shrink();
        startIncompleteCommandTimer();
        writeReadyReplies();
        updateFlowControl();
        if (cost >= RoundRobinScheduler.TURN_COST) {
            server.scheduler.submit(turn);
        }
        return cost;
    }

    /**
     * Whether input may have waited in the socket since reading was paused. It is read without an event from the
     * selector then: there is none if nothing has waited, and the client would count as possibly gone for good.
     */
    private boolean mustReadBacklog() {
        return backlogSince != NO_BACKLOG && channel.config().isAutoRead() && !channel.isReadFailing();
    }

    /** Reads what may have waited in the socket; returns the cost. */
    private int readBacklog() {
        if (!mustReadBacklog()) {
            return 0;
        }
        int undecodedBefore = input.undecodedBytes();
        channel.unsafe().read();
        return (input.undecodedBytes() - undecodedBefore) / BYTES_READ_PER_COST_UNIT;
    }

    /** Processes commands; returns the cost, up to which {@code costBefore} is added of what this turn did before. */
    private int processInput(int costBefore) {
        int cost = 0;
        isWaiting = false;
        isHeadIncomplete = false;
        while (costBefore + cost < RoundRobinScheduler.TURN_COST && channel.isOpen()) {
            Disposition disposition = nextDisposition();
            if (disposition == Disposition.WAIT) {
                isWaiting = true;
                return cost;
            }
            MetaFrame frame = nextFrame(disposition);
            if (frame == null) {
                hasUndecodedCommands = false;
                isHeadIncomplete = input.hasIncompleteFrame();
                return cost;
            }
            cost += process(frame, disposition);
        }
        return cost;
    }

    /** Decides on the next command, whatever it is; what the limits are for is said at each. */
    private Disposition nextDisposition() {
        if (state == State.DRAINING) {
            return Disposition.REJECT;
        }
        if (!channel.isWritable()) {
            return Disposition.WAIT;
        }
        if (!isWindowFull() && !mayClientHaveLeft()) {
            return Disposition.START;
        }
        // Made room for by rejecting what has waited longest, as the end of the client is seen only by reading on.
        return isInputLimitExceeded() ? Disposition.REJECT : Disposition.WAIT;
    }

    /** Whether no further command may be started until earlier ones have their replies. */
    private boolean isWindowFull() {
        return replies.inProgressCount() >= MAX_COMMANDS_IN_PROGRESS || replies.size() >= MAX_PIPELINED_COMMANDS
                || replies.waitingBytes() >= MAX_WAITING_REPLY_BYTES || isAwaitingMemory();
    }

    /**
     * Whether there is no memory for the reply to a further command. A command that no other precedes is always
     * started: its reply can be written as soon as it arrives.
     */
    private boolean isAwaitingMemory() {
        return !replies.isEmpty() && !server.replyMemory.hasRoomForPipelinedCommand();
    }

    private MetaFrame nextFrame(Disposition disposition) {
        if (unprocessedFrame == null) {
            unprocessedFrame = disposition == Disposition.START ? input.next() : input.nextWithoutData();
        }
        return unprocessedFrame;
    }

    /** Processes a command, or rejects it; returns the cost. */
    private int process(MetaFrame frame, Disposition disposition) {
        int cost = 1 + frame.line().length() / BYTES_PER_COST_UNIT;
        boolean isQuit = frame.tokenIs(0, "quit");
        if (isQuit) {
            // Commands after quit are discarded.
            state = State.DRAINING;
            input.discardAll();
        } else if (disposition == Disposition.REJECT && mustReject(frame)) {
            reject(frame);
        } else {
            PendingReply pending = replies.add(frame, input.frameReceivedAt());
            processOrReject(pending, frame);
            cost += frame.isRequest() ? REQUEST_COST : 0;
        }
        unprocessedFrame = null;
        hasReceivedFrame = true;
        hasReceivedFrameSinceIdle = true;
        return cost;
    }

    /** Whether a command is not answered as usual: a draining connection answers all but requests if there is room. */
    private boolean mustReject(MetaFrame frame) {
        return state != State.DRAINING || frame.isRequest() || replies.size() >= MAX_PIPELINED_COMMANDS
                || isAwaitingMemory();
    }

    /**
     * Rejects a command because the input buffered behind the commands in progress exceeds its limit, or the
     * connection is to end. The rejection keeps its place in the order of replies.
     */
    private void reject(MetaFrame frame) {
        replies.reject();
        hasReceivedValidCommand |= frame.isRequest();
        server.counters.localRefusals++;
        server.rejectedCommands++;
    }

    /** Processes a command; if that fails before it is a request, it is rejected, and others are not affected. */
    private void processOrReject(PendingReply pending, MetaFrame frame) {
        try {
            processWithReply(pending, frame);
        } catch (Throwable e) {
            server.counters.recordClientFailure(e);
            if (pending.exchange == null) {
                pending.reply(Command.BUSY_REPLY, null);
            }
        }
    }

    private void processWithReply(PendingReply pending, MetaFrame frame) {
        if (frame.isValueDropped()) {
            hasReceivedValidCommand = true;
            server.counters.localRefusals++;
            pending.reply(Command.BUSY_REPLY, null);
        } else if (frame.protocolError() != null) {
            server.counters.malformedCommands++;
            pending.reply(frame.protocolError() + "\r\n", null);
        } else if (frame.isRequest()) {
            processRequest(pending, frame);
        } else if (frame.tokenIs(0, "mn")) {
            hasReceivedValidCommand = true;
            pending.reply("MN\r\n", null);
        } else {
            server.counters.malformedCommands++;
            pending.reply("ERROR\r\n", null);
        }
    }

    private void processRequest(PendingReply pending, MetaFrame frame) {
        if (state != State.OPEN) {
            hasReceivedValidCommand = true;
            server.counters.localRefusals++;
            state = State.DRAINING;
            pending.reply(Command.BUSY_REPLY, null);
            return;
        }
        try {
            Command command = new Command(frame, server.balancer.site());
            hasReceivedValidCommand = true;
            pending.exchange = server.balancer.submit(command, pending, pending.receivedAt);
        } catch (Command.MalformedCommandException e) {
            server.counters.malformedCommands++;
            pending.reply(e.getMessage() + "\r\n", null);
        }
    }

    /**
     * Starts the timer if the input ended within a command and the timer is not running. The first command of a
     * connection is covered by {@link #firstCommandTimer} instead.
     */
    private void startIncompleteCommandTimer() {
        if (incompleteCommandTimer == null && hasReceivedFrame && isHeadIncomplete) {
            incompleteCommandTimer = server.loop.schedule(this::checkIncompleteCommand, INCOMPLETE_COMMAND_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Ends the connection if a command is incomplete and no input has arrived within the timeout; if some has,
     * restarts the timer for the remaining time.
     */
    private void checkIncompleteCommand() {
        incompleteCommandTimer = null;
        if (state == State.LINGERING || state == State.CLOSED || !isHeadIncomplete) {
            return;
        }
        long remainingMs = INCOMPLETE_COMMAND_TIMEOUT_MS - (Clock.now() - lastReadAt) / Clock.MILLISECOND;
        if (remainingMs > 0) {
            incompleteCommandTimer = server.loop.schedule(this::checkIncompleteCommand, remainingMs,
                    TimeUnit.MILLISECONDS);
            return;
        }
        server.counters.malformedCommands++;
        state = State.DRAINING;
        isHeadIncomplete = false;
        input.discardAll();
        replies.add(null, lastReadAt).reply("CLIENT_ERROR incomplete command\r\n", null);
    }

    // Replies and flow control.

    @Override
    public void onReplyReady() {
        if (isInTurn || state == State.CLOSED) {
            return;
        }
        writeReadyReplies();
        if (isWaiting) {
            server.scheduler.submit(turn);
        } else {
            updateFlowControl();
        }
    }

    /** Writes the complete replies at the head of the queue, up to the first command in progress. */
    private void writeReadyReplies() {
        replies.write();
        server.resumeConnectionsAwaitingMemory();
    }

    /**
     * Applies backpressure, or ends the connection, depending on the commands in progress, the buffered input and how
     * fast the client reads its replies.
     */
    private void updateFlowControl() {
        if (state == State.LINGERING || state == State.CLOSED) {
            return;
        }
        updateInputMemory();
        if (replies.isEmpty() && state == State.DRAINING && !hasUndecodedCommands && !awaitsDrainingBacklog()) {
            startLingeringClose();
            return;
        }
        if (replies.isEmpty() && !hasUndecodedCommands) {
            markIdle();
        }
        if (isWaiting && isAwaitingMemory()) {
            server.connectionsAwaitingMemory.add(this);
        } else {
            server.connectionsAwaitingMemory.remove(this);
        }
        setReading(!input.hasUnstored() && !isInputLimitExceeded());
        if (mustReadBacklog()) {
            server.scheduler.submit(turn);
        }
    }

    /** Whether a draining connection has more to read that is answered before it ends. */
    private boolean awaitsDrainingBacklog() {
        return !input.isDiscarding() && backlogSince != NO_BACKLOG
                && Clock.now() - backlogSince < MAX_DRAINING_BACKLOG_NS;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        onReplyReady();
    }
}
