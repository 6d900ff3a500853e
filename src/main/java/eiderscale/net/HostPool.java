package eiderscale.net;

import eiderscale.Api;
import eiderscale.Api.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The connection pool to all cache hosts. Idle connections are reused in LIFO order per host, and evicted in LRU order
 * over all hosts when the pool is full.
 *
 * <p>A connection has at most one request in flight. Every site allows this (setting {@code ceilings.multiplex}), and
 * abandoning an attempt then closes a connection that no other request uses. The pool never sends an attempt a second
 * time. All methods must be called on the event loop.
 */
final class HostPool {
    /** Receives the result of each attempt, except of those ended by {@link HostPool#abandon}. */
    interface AttemptListener {
        /**
         * Reports that an attempt has ended; called at most once for each attempt.
         *
         * @param response the host's response, null if there is none
         */
        void onAttemptEnded(Attempt attempt, Reason reason, MetaFrame response);
    }

    /** Lower bound of the idle timeout, as a fraction of the hosts' idle timeout; applies where that is short. */
    private static final double MIN_IDLE_TIMEOUT_FRACTION = 0.6;
    /**
     * Subtracted from the drain grace period, {@link Api.Settings#stopSendingWithinNs}: reading the host list and
     * writing an attempt may each take half of this.
     */
    private static final long DRAIN_MARGIN_NS = 300 * Clock.MILLISECOND;
    /**
     * How long after a response a second, unsolicited one may still arrive on the same connection.
     * {@code SERVER_ERROR busy} carries no opaque, so an unsolicited one would be taken for the response to the next
     * request on the connection, and that request would be reported as never run.
     */
    private static final long UNSOLICITED_RESPONSE_WINDOW_NS = 100 * Clock.MILLISECOND;
    /** Value of {@link Host#sendDeadline} for a host that is ready. */
    private static final long NO_DEADLINE = Long.MAX_VALUE;

    /** A cache host and its connections. */
    private static final class Host {
        InetSocketAddress endpoint;
        /** Start time as given by discovery, in nanoseconds on {@link Clock}. */
        long startedAt;
        /** Incremented when the endpoint or start time changes: older connections lead to another or no process. */
        int generation;
        /** Whether discovery lists the host as gone or no longer lists it. */
        boolean isGone;
        /** From this instant on no attempt is written to the host; {@link #NO_DEADLINE} while it is ready. */
        long sendDeadline = NO_DEADLINE;
        /** Connections that hold a slot: open, being opened, or closing. */
        int connectionCount;
        /** The host's idle connections, least recently used first. */
        final Deque<PooledConnection> idleConnections = new ArrayDeque<>();
    }

    private final SiteSettings site;
    private final Counters counters;
    private final MemoryBudget memoryBudget;
    /** Most connections to all hosts together. */
    private final int maxConnections;
    /**
     * How long a connection may be idle before it is closed. A host applies its idle timeout by its own clock, and so
     * may close the connection up to a round trip before it expires here; the connect timeout stands for that round
     * trip. A request that is sent while the host closes the connection ends as a reset, after which a write cannot be
     * repeated. With a shorter timeout than this, a balancer with few requests would have closed the connection before
     * its next request to the host.
     */
    private final long idleTimeoutNs;
    private final AttemptListener listener;
    private final Connector connector;
    private final int connectTimeoutMs;
    /** All hosts by server id, as in the host list and the decision module. */
    private final Map<Long, Host> hosts = new HashMap<>();
    /** The idle connections of all hosts, least recently used first. */
    private final Set<PooledConnection> allIdleConnections = new LinkedHashSet<>();
    /** Connections to all hosts that hold a slot, at most {@link #maxConnections}. */
    private int connectionCount;

    HostPool(SiteSettings site, EventLoop loop, Counters counters, MemoryBudget memoryBudget, int maxConnections,
             AttemptListener listener) {
        this.site = site;
        this.counters = counters;
        this.memoryBudget = memoryBudget;
        this.maxConnections = maxConnections;
        this.idleTimeoutNs = Math.max((long) (site.idleTimeoutNs * MIN_IDLE_TIMEOUT_FRACTION),
                site.idleTimeoutNs - site.connectTimeoutNs);
        this.listener = listener;
        this.connector = new Connector(loop, counters);
        this.connectTimeoutMs =
                (int) Math.min(Integer.MAX_VALUE, Math.max(1, site.connectTimeoutNs / Clock.MILLISECOND));
    }

    /** Applies a host list. Must be called before the decision module gets the list, as it may then name any host. */
    void applyHostList(Api.ListMode mode, List<HostList.Member> members) {
        if (mode == Api.ListMode.FAILED) {
            return;
        }
        long nowNs = Clock.now();
        Set<Host> unlisted = new LinkedHashSet<>(hosts.values());
        for (HostList.Member member : members) {
            Host host = hosts.computeIfAbsent(member.server().id(), id -> new Host());
            unlisted.remove(host);
            if (!member.endpoint().equals(host.endpoint) || member.server().startedAt() != host.startedAt) {
                host.generation++;
                host.endpoint = member.endpoint();
                host.startedAt = member.server().startedAt();
                closeIdleConnections(host);
            }
            host.isGone = member.server().state() == Api.State.GONE;
            if (member.server().state() == Api.State.READY) {
                host.sendDeadline = NO_DEADLINE;
            } else {
                startDraining(host, nowNs);
            }
        }
        if (mode != Api.ListMode.DELTA) {
            for (Host host : unlisted) {
                host.isGone = true;
                startDraining(host, nowNs);
            }
        }
    }

    /** Closes idle connections, and lets attempts be sent only until shortly before the drain grace period ends. */
    private void startDraining(Host host, long nowNs) {
        host.sendDeadline = Math.min(host.sendDeadline,
                nowNs + Math.max(0, site.settings.stopSendingWithinNs() - DRAIN_MARGIN_NS));
        closeIdleConnections(host);
    }

    /**
     * Sends an attempt on the host's most recently used idle connection, or on a new one if there is none. The attempt
     * ends as MOOT (not sent) if the host is unknown or drained, or if the pool has no connection for it.
     */
    void send(Attempt attempt, long hostId) {
        Host host = hosts.get(hostId);
        if (host == null || Clock.now() >= host.sendDeadline) {
            listener.onAttemptEnded(attempt, Reason.MOOT, null);
            return;
        }
        PooledConnection connection = host.idleConnections.peekLast();
        while (connection != null && !connection.isUsable()) {
            connection.closeAndReleaseSlot();
            connection = host.idleConnections.peekLast();
        }
        if (connection != null && site.mustNotRunTwice(attempt.exchange.command.requestClassIndex)) {
            connection = mostRecentlyUsedPastResponseWindow(host);
        }
        if (connection != null) {
            connection.removeFromIdle();
            connection.assign(attempt);
            connection.writeAttempt();
        } else if (connectionCount >= maxConnections && !evictLeastRecentlyUsed()) {
            // A full pool is not the host's fault. MOOT (not sent) counts against no host; the module may then choose
            // another host or refuse the request.
            counters.localRefusals++;
            listener.onAttemptEnded(attempt, Reason.MOOT, null);
        } else {
            new PooledConnection(host).connect(attempt);
        }
    }

    /**
     * The most recently used idle connection that has had no response within {@link #UNSOLICITED_RESPONSE_WINDOW_NS},
     * so that no unsolicited response is expected on it; null if there is none or it is not usable any more.
     */
    private static PooledConnection mostRecentlyUsedPastResponseWindow(Host host) {
        long windowStartAt = Clock.now() - UNSOLICITED_RESPONSE_WINDOW_NS;
        for (Iterator<PooledConnection> mostRecentFirst = host.idleConnections.descendingIterator();
                mostRecentFirst.hasNext(); ) {
            PooledConnection connection = mostRecentFirst.next();
            if (connection.lastResponseAt <= windowStartAt) {
                return connection.isUsable() ? connection : null;
            }
        }
        return null;
    }

    /**
     * Ends an attempt without reporting it. If its write has begun, its connection is closed, as the response may still
     * arrive; a connection that is still being opened stays in the pool.
     */
    void abandon(Attempt attempt) {
        PooledConnection connection = attempt.connection;
        if (connection != null) {
            connection.unassign();
            if (connection.writeFuture != null) {
                connection.close();
            }
        }
    }

    /** Closes all idle connections to a host; unknown hosts are ignored. */
    void closeIdleConnections(long hostId) {
        Host host = hosts.get(hostId);
        if (host != null) {
            closeIdleConnections(host);
        }
    }

    private static void closeIdleConnections(Host host) {
        for (PooledConnection connection : List.copyOf(host.idleConnections)) {
            connection.closeAndReleaseSlot();
        }
    }

    /** Closes the least recently used idle connection to make room; returns false if no connection is idle. */
    private boolean evictLeastRecentlyUsed() {
        Iterator<PooledConnection> leastRecentFirst = allIdleConnections.iterator();
        if (!leastRecentFirst.hasNext()) {
            return false;
        }
        leastRecentFirst.next().closeAndReleaseSlot();
        return true;
    }

    /** Closes connections that have reached the idle timeout, and removes hosts that are gone. Called periodically. */
    void evictExpired() {
        for (PooledConnection connection : List.copyOf(allIdleConnections)) {
            if (connection.isUsable()) {
                break;
            }
            connection.closeAndReleaseSlot();
        }
        hosts.values().removeIf(host -> host.isGone && host.connectionCount == 0);
    }

    String gauges() {
        return "hosts " + hosts.size() + " links " + connectionCount + " idle " + allIdleConnections.size();
    }

    /**
     * The states of a connection. {@code AWAITING_RESPONSE}: an attempt is being written or has been.
     * {@code FINISHING_READ}: the response has arrived, but the read that delivered it is not complete and may deliver
     * bytes beyond it.
     */
    private enum State { CONNECTING, AWAITING_RESPONSE, FINISHING_READ, IDLE, CLOSED }

    /** One connection to a host; also the last handler of its channel's pipeline. */
    final class PooledConnection extends SimpleChannelInboundHandler<MetaFrame> {
        private final Host host;
        private final int generation;
        private final ResponseDecoder decoder = new ResponseDecoder(memoryBudget);
        private State state = State.CONNECTING;
        private Channel channel;
        /** The attempt in flight, or the one to write when the connection is up; null if there is none. */
        private Attempt attempt;
        /** The write of {@link #attempt}, null before; completes when its last byte has been passed to the kernel. */
        private ChannelFuture writeFuture;
        /** When the connection last became idle; 0 if it never was. */
        private long idleAt;
        /** When the last response arrived; 0 if none has. */
        private long lastResponseAt;
        /** Whether the connection holds a slot, that is, counts towards {@link HostPool#maxConnections}. */
        private boolean holdsSlot;

        private PooledConnection(Host host) {
            this.host = host;
            this.generation = host.generation;
        }

        private void connect(Attempt firstAttempt) {
            assign(firstAttempt);
            counters.connectionsStarted++;
            holdsSlot = true;
            connectionCount++;
            host.connectionCount++;
            try {
                ChannelFuture connected = connector.connect(host.endpoint, connectTimeoutMs, decoder, this);
                channel = connected.channel();
                connected.addListener(done -> {
                    if (!done.isSuccess()) {
                        onClosed(Connector.isUnrelatedToPeer(done.cause()) ? Reason.MOOT : Reason.CONNECT_FAILED);
                    }
                });
            } catch (SocketUnavailableException e) {
                // MOOT (not sent) as for a full pool: counts against no host.
                counters.socketFailures++;
                state = State.CLOSED;
                releaseSlot();
                unassign();
                listener.onAttemptEnded(firstAttempt, Reason.MOOT, null);
            }
        }

        private void assign(Attempt newAttempt) {
            attempt = newAttempt;
            newAttempt.connection = this;
        }

        private void unassign() {
            attempt.connection = null;
            attempt = null;
        }

        /** Whether the attempt's last byte has been passed to the kernel: from then on it may run. */
        boolean isWritten() {
            return writeFuture != null && writeFuture.isSuccess();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (attempt == null) {
                // The attempt was abandoned while the connection was being opened. The connection is kept.
                returnToPool();
            } else {
                writeAttempt();
            }
        }

        private void writeAttempt() {
            long nowNs = Clock.now();
            if (nowNs >= host.sendDeadline || generation != host.generation) {
                // The host was drained, moved or restarted while the connection was being opened.
                finishAttempt(Reason.CONNECT_FAILED, null, true);
                return;
            }
            if (attempt.exchange.mayClientHaveLeft()) {
                finishAttempt(Reason.MOOT, null, true);
                return;
            }
            state = State.AWAITING_RESPONSE;
            long remainingWaitMs = Math.max(1, (attempt.deadline - nowNs) / Clock.MILLISECOND);
            ByteBuf bytes;
            try {
                bytes = attempt.exchange.command.encode(channel.alloc(), remainingWaitMs);
            } catch (OutOfMemoryError e) {
                Counters.log("no memory to send an attempt", e);
                finishAttempt(Reason.MOOT, null, true);
                return;
            }
            counters.recordSendDelay(nowNs - attempt.sentAt);
            writeFuture = channel.writeAndFlush(bytes);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaFrame response) {
            if (state != State.AWAITING_RESPONSE || attempt == null) {
                // An unsolicited response: later ones on this connection cannot be matched to requests any more.
                close();
                return;
            }
            Reason reason = classify(attempt.exchange.command, response);
            boolean isProtocolError = reason == null;
            if (isProtocolError) {
                Counters.log("protocol error in a cache host's response: "
                        + (response.protocolError() != null ? response.protocolError() : response.line()));
            }
            if (reason == Reason.REJECTED && lastResponseAt == 0) {
                // A host that is at its connection limit answers the first request on a new connection with "busy" and
                // closes it. That counts as a failed connect: it does not mean that the host is overloaded.
                counters.connectionsRejectedByHost++;
                finishAttempt(Reason.CONNECT_FAILED, response, true);
            } else {
                finishAttempt(isProtocolError ? Reason.ERROR : reason, response,
                        isProtocolError || response.isValueDropped() || !isWritten());
            }
        }

        /** The result that a response stands for; null if it violates the protocol or does not fit the command. */
        private static Reason classify(Command command, MetaFrame response) {
            if (response.protocolError() != null && !response.isValueDropped()) {
                return null;
            }
            if (response.tokenIs(0, "SERVER_ERROR")) {
                return response.tokenIs(1, "busy") ? Reason.REJECTED
                        : response.tokenIs(1, "failed") ? Reason.ERROR : null;
            }
            int wordsBeforeFlags = response.tokenIs(0, "VA") ? 2 : 1;
            boolean hasExpectedForm = command.isWrite
                    ? response.tokenIs(0, "HD") && response.flagValue(wordsBeforeFlags, 'c') != null
                    : response.tokenIs(0, "VA");
            return hasExpectedForm && command.opaque.equals(response.flagValue(wordsBeforeFlags, 'O'))
                    ? Reason.OK : null;
        }

        /**
         * Ends the attempt on this connection and reports it.
         *
         * @param response the host's response, or null if there is none
         * @param closeConnection whether the connection is closed, not reused
         */
        private void finishAttempt(Reason reason, MetaFrame response, boolean closeConnection) {
            Attempt ended = attempt;
            unassign();
            writeFuture = null;
            if (closeConnection) {
                close();
            } else {
                state = State.FINISHING_READ;
                lastResponseAt = Clock.now();
            }
            listener.onAttemptEnded(ended, reason, response);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (state == State.FINISHING_READ && !decoder.isInsideFrame()) {
                returnToPool();
            } else if (state == State.FINISHING_READ || state == State.IDLE && decoder.isInsideFrame()) {
                // Part of an unsolicited response, whose rest would be taken for the response to the next request.
                close();
            }
        }

        /** Makes the connection idle; closes it if its host is draining, or moved or restarted, or it is broken. */
        private void returnToPool() {
            if (host.sendDeadline != NO_DEADLINE || generation != host.generation || !channel.isActive()) {
                close();
                return;
            }
            state = State.IDLE;
            idleAt = Clock.now();
            host.idleConnections.addLast(this);
            allIdleConnections.add(this);
        }

        private void removeFromIdle() {
            host.idleConnections.remove(this);
            allIdleConnections.remove(this);
        }

        /** Whether an idle connection may be reused: it is open and has not reached the idle timeout. */
        private boolean isUsable() {
            return channel.isActive() && Clock.now() - idleAt < idleTimeoutNs;
        }

        /** Closes an idle connection. Its slot is free at once, not only when the channel has been closed. */
        private void closeAndReleaseSlot() {
            releaseSlot();
            close();
        }

        /** Starts to close the connection; {@link #channelInactive} then frees its slot. */
        private void close() {
            removeFromIdle();
            state = State.CLOSED;
            channel.close();
        }

        /** Frees the connection's slot, the first time only; called as soon as the connection is certain to end. */
        private void releaseSlot() {
            if (holdsSlot) {
                holdsSlot = false;
                connectionCount--;
                host.connectionCount--;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            // A request cannot run before its last byte has been written; after that it may have run.
            onClosed(isWritten() ? Reason.RESET : Reason.CONNECT_FAILED);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Counters.log("unexpected exception on a cache host connection", cause);
            }
            ctx.close();
        }

        /** Handles that the connection was closed or could not be opened: ends the attempt on it, if any. */
        private void onClosed(Reason reason) {
            state = State.CLOSED;
            removeFromIdle();
            releaseSlot();
            if (attempt != null) {
                if (idleAt > 0) {
                    counters.recordStaleReset(attempt.sentAt - idleAt);
                }
                Attempt ended = attempt;
                unassign();
                listener.onAttemptEnded(ended, reason, null);
            }
        }
    }
}
