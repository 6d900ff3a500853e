package eiderscale.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Server for client connections: accepts them, and holds what they share. Limits per connection and in total bound the
 * commands in progress, the undecoded input and the unsent replies. Clients are disconnected if they do not complete a
 * command in time, or read nothing of their replies for long while memory is scarce; idle ones are disconnected when
 * new connections need their place. All methods must be called on the event loop.
 */
final class ClientServer {
    private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
            new WriteBufferWaterMark(32 * 1024, 128 * 1024);

    /** What becomes of a new connection. */
    enum Admission {
        SERVED,
        /** It is above the connection limit: its first request is rejected. */
        OVER_LIMIT,
        /** The program stops: its requests are rejected. */
        DRAINING,
        /** It is closed at once. */
        NONE
    }

    final Balancer balancer;
    final EventLoop loop;
    final Counters counters;
    private final int maxConnections;
    private final int maxOverLimitConnections;
    private final Acceptor acceptor;
    final MemoryBudget memoryBudget;
    final ReplyMemory replyMemory;
    final InputMemory inputMemory;
    final RoundRobinScheduler scheduler;
    /** Connections that are neither lingering nor closed. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /** Connections with no command in progress, the longest idle first. */
    final Set<ClientConnection> idleConnections = new LinkedHashSet<>();
    /** Connections in state LINGERING, the oldest first. */
    private final Set<ClientConnection> lingeringConnections = new LinkedHashSet<>();
    /** Connections that do not decode further commands for lack of memory, the longest waiting first. */
    final Set<ClientConnection> connectionsAwaitingMemory = new LinkedHashSet<>();
    /** Commands rejected so far because the limits on buffered input were exceeded. */
    long rejectedCommands;
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
        this.inputMemory = new InputMemory(memoryBudget);
        this.scheduler = new RoundRobinScheduler(loop);
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
        channel.config().setRecvByteBufAllocator(new DrainingRecvByteBufAllocator(inputMemory::maxReadBytes));
        channel.config().setWriteBufferWaterMark(WRITE_BUFFER_WATER_MARK);
        channel.pipeline().addLast(new ClientConnection(this, channel));
    }

    /** Stops accepting connections, and ends each connection once all its replies have been written. */
    void close() {
        isClosing = true;
        acceptor.close();
        for (ClientConnection connection : List.copyOf(connections)) {
            connection.drain();
        }
    }

    /** Periodic work: see {@link #closeStalledConnections}; also resumes whatever could be resumed by now. */
    void sweep() {
        closeStalledConnections();
        for (ClientConnection connection : List.copyOf(connections)) {
            connection.resume();
        }
        scheduler.ensureScheduled();
    }

    /** If memory is scarce, closes the connections whose client reads nothing of the replies that are written to it. */
    private void closeStalledConnections() {
        long now = Clock.now();
        for (ClientConnection connection : List.copyOf(connections)) {
            // Asked of each, as it notes the progress that the connection has made.
            if (connection.isStalled(now) && replyMemory.isScarce()) {
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

    /** Decides what becomes of a new connection, for which an idle one may be ended. */
    Admission admit(ClientConnection connection) {
        if (connections.size() >= maxConnections + maxOverLimitConnections) {
            counters.rejectedClients++;
            return Admission.NONE;
        }
        Admission admission = isClosing ? Admission.DRAINING
                : connections.size() < maxConnections || evictIdleConnection() ? Admission.SERVED
                : Admission.OVER_LIMIT;
        connections.add(connection);
        return admission;
    }

    /**
     * Ends the longest idle connection that may be evicted; returns whether there was one. If more than
     * {@link #maxOverLimitConnections} are lingering then, the oldest of these is closed, so that evicted connections
     * do not use up the sockets.
     */
    private boolean evictIdleConnection() {
        long now = Clock.now();
        for (ClientConnection candidate : idleConnections) {
            if (candidate.isEvictable(now)) {
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

    /** Takes note that a connection will only be kept until its client closes it. */
    void onLingering(ClientConnection connection) {
        forget(connection);
        lingeringConnections.add(connection);
    }

    void onClosed(ClientConnection connection) {
        forget(connection);
        lingeringConnections.remove(connection);
    }

    private void forget(ClientConnection connection) {
        connections.remove(connection);
        idleConnections.remove(connection);
        connectionsAwaitingMemory.remove(connection);
    }

    /** Lets connections that wait for memory process further commands, if some was freed. */
    void resumeConnectionsAwaitingMemory() {
        if (connectionsAwaitingMemory.isEmpty() || !replyMemory.hasRoomForPipelinedCommand()) {
            return;
        }
        for (ClientConnection connection : connectionsAwaitingMemory) {
            connection.resume();
        }
        connectionsAwaitingMemory.clear();
    }
}
