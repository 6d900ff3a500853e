package eiderscale.net;

import eiderscale.Api;
import eiderscale.Api.Reason;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Connects the decision module to the sockets: keeps track of open requests, their attempts and their timers, passes
 * events to the module and carries out its actions. The module decides what is sent, repeated, refused or cancelled.
 * Requests get a reply without it only if there is no room for them, if their time is over, if the module fails on
 * them, or when the program stops.
 *
 * <p>All methods must be called on the event loop. The module is not reentrant and gets one event at a time: an event
 * that one of its actions causes is queued, and delivered when the module has returned.
 */
final class Balancer implements Api.Actions, HostPool.AttemptListener, Discovery.Listener {
    /**
     * Subtracted from a request's deadline for the network delay of request and reply, so that the reply arrives in
     * time: the client's wait begins when it sends the request, not when that is read here.
     */
    private static final long CLIENT_NETWORK_MARGIN_NS = 6 * Clock.MILLISECOND;
    /** How long after its deadline a request that the module has left open gets a reply without the module. */
    private static final long OVERDUE_REPLY_DELAY_NS = Clock.MILLISECOND;
    private static final long REPLY_RETRY_DELAY_MS = 5;
    private static final String FAILED_REPLY = "SERVER_ERROR failed\r\n";
    /** Heap memory of a request without its text and value, in bytes: attempts and timers, also in the module. */
    private static final int REQUEST_BYTES = 1024;
    /** Maximum total size of the values of the requests in memory; the heap has room for a few times as much. */
    private static final long MAX_HELD_VALUE_BYTES = 8L * 1024 * 1024;

    /** Creates the decision module. */
    interface ModuleFactory {
        /**
         * Creates a module.
         *
         * @param seed source of all random choices of the module
         * @param actions called by the module to act
         */
        Api.Events create(Api.Settings settings, long seed, Api.Actions actions);
    }

    /**
     * A queued event.
     *
     * @param exchange the request that it concerns, or null
     * @param moduleCall delivers it to the module
     */
    private record Event(Exchange exchange, Runnable moduleCall) {
    }

    private final SiteSettings site;
    private final EventLoop loop;
    private final Counters counters;
    private final MemoryBudget memoryBudget;
    private final Api.Events decisionModule;
    private final HostPool pool;
    private final Discovery discovery;
    /** Requests that are open or have an attempt without an outcome, by id. */
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final RecentWrites recentWrites = new RecentWrites();
    /** Events that the module has not been given yet. */
    private final Queue<Event> pendingEvents = new ArrayDeque<>();
    /** Whether events are being delivered to the module; new ones are only queued then. */
    private boolean isDelivering;
    private long lastRequestId;
    /** The number of requests that have no reply yet and whose client is connected. */
    private int openRequests;
    /** The total size of the values of {@link #exchanges}. */
    private long heldValueBytes;

    Balancer(Config config, EventLoop loop, Counters counters, MemoryBudget memoryBudget, ModuleFactory moduleFactory,
             int maxHostConnections) {
        this.site = config.site();
        this.loop = loop;
        this.counters = counters;
        this.memoryBudget = memoryBudget;
        this.pool = new HostPool(site, loop, counters, memoryBudget, maxHostConnections, this);
        this.discovery = new Discovery(config, loop, counters, this);
        this.decisionModule = moduleFactory.create(site.settings, config.randomSeed(), this);
        HostList configured = config.initialHostList();
        onHostList(Api.ListMode.CACHED, configured.members());
        discovery.start();
    }

    // Input from clients, discovery and cache hosts.

    /**
     * Accepts a request, which gets exactly one reply unless its client disconnects before.
     *
     * @param receivedAt when the last byte of the request was received, from which on the client's wait counts, in
     *         nanoseconds of {@link Clock}
     */
    Exchange submit(Command command, Exchange.ReplyHandler replyHandler, long receivedAt) {
        long nowNs = Clock.now();
        long deadline = receivedAt + command.timeoutMs * Clock.MILLISECOND - CLIENT_NETWORK_MARGIN_NS;
        Exchange exchange = new Exchange(++lastRequestId, command, deadline, replyHandler);
        counters.received++;
        if (nowNs >= deadline) {
            counters.expiredRequests++;
            replyRefused(exchange, 0);
            return exchange;
        }
        // Without room the request is refused, which is safe as no attempt was sent.
        if (openRequests >= site.maxOpenRequests || !tryHold(command)) {
            counters.localRefusals++;
            replyRefused(exchange, 0);
            return exchange;
        }
        if (mustNotRunTwice(command) && recentWrites.mayHaveRun(command.opaque)) {
            releaseHeld(command);
            counters.repeatedIds++;
            counters.failed++;
            exchange.reply(FAILED_REPLY, null);
            return exchange;
        }
        exchanges.put(exchange.id, exchange);
        openRequests++;
        try {
            start(exchange, nowNs);
        } catch (Throwable e) {
            Counters.log("unexpected exception while starting a request", e);
            tryReplyWithoutModule(exchange);
            removeIfFinished(exchange);
        }
        return exchange;
    }

    /** Whether a repeat might take effect again: the request is not idempotent, or only some hosts drop repeats. */
    private boolean mustNotRunTwice(Command command) {
        return site.mustNotRunTwice(command.requestClassIndex);
    }

    private void start(Exchange exchange, long nowNs) {
        Command command = exchange.command;
        exchange.deadlineTimer = loop.schedule(() -> replyIfOverdue(exchange),
                exchange.deadline + OVERDUE_REPLY_DELAY_NS - nowNs, TimeUnit.NANOSECONDS);
        Api.Request request = new Api.Request(exchange.id, command.requestClassIndex, command.tenantIndex,
                command.numericKey(), exchange.deadline, command.expectedWorkNs, command.isRetry, command.isWrite);
        dispatch(exchange, () -> decisionModule.onRequest(Clock.now(), request));
    }

    /** Reserves memory for a request and its value; returns false if there is none. */
    private boolean tryHold(Command command) {
        int valueBytes = command.valueBytes();
        if (valueBytes > 0 && heldValueBytes + valueBytes > MAX_HELD_VALUE_BYTES
                || !memoryBudget.tryReserve(REQUEST_BYTES + command.memoryBytes())) {
            return false;
        }
        heldValueBytes += valueBytes;
        return true;
    }

    private void releaseHeld(Command command) {
        heldValueBytes -= command.valueBytes();
        memoryBudget.release(REQUEST_BYTES + command.memoryBytes());
    }

    /** Handles that the client of a request has disconnected: an open request is closed without a reply. */
    void onClientDisconnect(Exchange exchange) {
        if (exchange.close()) {
            counters.clientDisconnects++;
            counters.earlyClientDisconnects += isPastHalfOfWait(exchange) ? 0 : 1;
            openRequests--;
            boolean mayHaveRun = exchange.mayHaveRun || exchange.attempts.stream().anyMatch(Attempt::isFullyWritten);
            if (mayHaveRun && mustNotRunTwice(exchange.command)) {
                recentWrites.onClientLeft(exchange.command.opaque);
            }
            abandonUnwrittenAttempts(exchange);
            dispatch(exchange, () -> decisionModule.onClientGone(Clock.now(), exchange.id));
        }
    }

    /** Ends all attempts and replies to all open requests as in {@link #replyWithoutModule}: the program stops. */
    void replyToAllWithoutModule() {
        for (Exchange exchange : List.copyOf(exchanges.values())) {
            tryReplyWithoutModule(exchange);
        }
    }

    @Override
    public void onHostList(Api.ListMode mode, List<HostList.Member> members) {
        pool.applyHostList(mode, members);
        List<Api.Server> servers = members.stream().map(HostList.Member::server).toList();
        dispatch(null, () -> decisionModule.onServerList(Clock.now(), mode, servers));
    }

    @Override
    public void onAttemptEnded(Attempt attempt, Reason reason, MetaFrame response) {
        completeAttempt(attempt, reason, response);
    }

    SiteSettings site() {
        return site;
    }

    /** The number of requests that have no reply yet and whose client is connected. */
    int openRequests() {
        return openRequests;
    }

    String gauges() {
        return "open " + openRequests + " ledger " + exchanges.size() + " " + pool.gauges() + " " + discovery.gauges()
                + " | " + decisionModule.gauges();
    }

    /** Completes when the host list may be used to serve requests; see {@link Discovery}. */
    Future<Void> hostListReady() {
        return discovery.hostListReady();
    }

    /** Continues to watch the host list at another address. */
    void setDiscoveryAddress(InetSocketAddress address) {
        discovery.changeAddress(address);
    }

    /** Closes pooled connections that have reached the idle timeout. Called periodically. */
    void evictExpiredConnections() {
        pool.evictExpired();
    }

    // Delivery of events to the module, one at a time.

    /** Queues an event, and delivers it now unless the module is handling another one. */
    private void dispatch(Exchange exchange, Runnable moduleCall) {
        pendingEvents.add(new Event(exchange, moduleCall));
        if (isDelivering) {
            return;
        }
        isDelivering = true;
        try {
            for (Event event = pendingEvents.poll(); event != null; event = pendingEvents.poll()) {
                deliver(event);
            }
        } finally {
            isDelivering = false;
        }
    }

    private void deliver(Event event) {
        try {
            event.moduleCall.run();
        } catch (Throwable e) {
            // Whatever fails, also for lack of memory, must not affect other requests, nor leave this one without a
            // reply.
            Counters.log("unexpected exception while delivering an event to the decision module", e);
            if (event.exchange != null) {
                tryReplyWithoutModule(event.exchange);
            }
        }
        if (event.exchange != null) {
            removeIfFinished(event.exchange);
        }
    }

    /** Removes a closed request once all its attempts have had their outcome. */
    private void removeIfFinished(Exchange exchange) {
        if (exchange.isClosed && exchange.pendingAttempts == 0 && exchanges.remove(exchange.id) != null) {
            releaseHeld(exchange.command);
        }
    }

    /** Replies to a request for which the module has not done so in time, whatever the reason. */
    private void replyIfOverdue(Exchange exchange) {
        if (!exchange.isClosed) {
            counters.overdueReplies++;
            tryReplyWithoutModule(exchange);
        }
    }

    /** Calls {@link #replyWithoutModule}; if that fails, tries again after a short delay. */
    private void tryReplyWithoutModule(Exchange exchange) {
        try {
            replyWithoutModule(exchange);
        } catch (Throwable e) {
            Counters.log("cannot reply to a request, trying again", e);
            loop.schedule(() -> tryReplyWithoutModule(exchange), REPLY_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Ends a request's attempts and, if it is open, replies to it without the module: refused only if no attempt can
     * have run, so that the client may repeat it safely, and failed otherwise.
     */
    private void replyWithoutModule(Exchange exchange) {
        boolean mayHaveRun = exchange.mayHaveRun || exchange.attempts.stream().anyMatch(Attempt::isFullyWritten);
        for (Attempt attempt : List.copyOf(exchange.attempts)) {
            abandonAttempt(attempt, Reason.CANCELLED);
        }
        if (!exchange.isClosed) {
            if (mayHaveRun) {
                replyFailed(exchange);
            } else {
                replyRefused(exchange, 0);
            }
            dispatch(exchange, () -> decisionModule.onClientGone(Clock.now(), exchange.id));
        }
    }

    /**
     * Ends the attempts of a closed request that are not completely written, such as those whose connection is still
     * being opened. This is allowed even if the site's settings forbid cancelling: they cannot have run yet.
     */
    private void abandonUnwrittenAttempts(Exchange exchange) {
        for (Attempt attempt : List.copyOf(exchange.attempts)) {
            if (!attempt.isFullyWritten()) {
                abandonAttempt(attempt, Reason.MOOT);
            }
        }
    }

    private void abandonAttempt(Attempt attempt, Reason reason) {
        if (!attempt.isCompleted) {
            pool.abandon(attempt);
            completeAttempt(attempt, reason, null);
        }
    }

    /** Records the outcome of an attempt, and reports it to the module; has no effect if it has one already. */
    private void completeAttempt(Attempt attempt, Reason reason, MetaFrame response) {
        if (attempt.isCompleted) {
            return;
        }
        attempt.isCompleted = true;
        if (attempt.deadlineTimer != null) {
            attempt.deadlineTimer.cancel(false);
        }
        counters.recordOutcome(attempt, reason);
        Exchange exchange = attempt.exchange;
        exchange.mayHaveRun |= !reason.neverExecuted;
        dispatch(exchange, () -> {
            exchange.pendingAttempts--;
            if (reason == Reason.OK && !exchange.isClosed && response.isValueDropped()) {
                replyFailed(exchange);
            } else if (reason == Reason.OK && !exchange.isClosed) {
                exchange.reply(replyLine(exchange.command, response), response.data());
                counters.served(response.flagValue(1, 'h'), Clock.now() - attempt.sentAt);
                openRequests--;
                abandonUnwrittenAttempts(exchange);
            }
            float[] report = site.parseReport(response == null ? null : response.flagValue(1, 'L'));
            long now = Clock.now();
            decisionModule.onAttemptOutcome(now, new Api.AttemptOutcome(exchange.id, attempt.index, reason,
                    now - attempt.sentAt, exchange.isClosed, report));
        });
    }

    /** The reply line to the client for a host's response, without the flags that are meant for balancers. */
    private static String replyLine(Command command, MetaFrame response) {
        return command.isWrite ? "HD O" + command.opaque + " c" + response.flagValue(1, 'c') + "\r\n"
                : "VA " + response.data().length + " O" + command.opaque + "\r\n";
    }

    private void replyRefused(Exchange exchange, long retryAfterMs) {
        counters.refusedWithoutAttempt += exchange.attempts.isEmpty() ? 1 : 0;
        countIfLateAndUnwritten(exchange);
        exchange.reply(retryAfterMs > 0 ? "SERVER_ERROR busy " + retryAfterMs + "\r\n" : Command.BUSY_REPLY, null);
        counters.refused++;
        openRequests -= exchanges.containsKey(exchange.id) ? 1 : 0;
        abandonUnwrittenAttempts(exchange);
    }

    private void replyFailed(Exchange exchange) {
        countIfLateAndUnwritten(exchange);
        exchange.reply(FAILED_REPLY, null);
        counters.failed++;
        openRequests--;
        abandonUnwrittenAttempts(exchange);
    }

    /**
     * Counts a request that is refused or failed in the second half of its client's wait, with no attempt written
     * completely.
     */
    private void countIfLateAndUnwritten(Exchange exchange) {
        boolean isAnyWritten = exchange.mayHaveRun || exchange.attempts.stream().anyMatch(Attempt::isFullyWritten);
        counters.lateAndUnwritten += !isAnyWritten && isPastHalfOfWait(exchange) ? 1 : 0;
    }

    /** Whether less than half of the client's wait is left. */
    private static boolean isPastHalfOfWait(Exchange exchange) {
        return Clock.now() > exchange.deadline - exchange.command.timeoutMs * Clock.MILLISECOND / 2;
    }

    // Actions of the module, carried out in the order of the calls.

    @Override
    public void send(long requestId, long serverId, long attemptDeadline) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange == null) {
            Counters.log("decision module sent an attempt of an unknown or finished request: " + requestId);
            return;
        }
        long nowNs = Clock.now();
        // A deadline of 0 or less stands for that of the request.
        long cappedDeadline = attemptDeadline <= 0 ? exchange.deadline : Math.min(attemptDeadline, exchange.deadline);
        Attempt attempt = new Attempt(exchange, exchange.attempts.size(), nowNs, cappedDeadline);
        exchange.attempts.add(attempt);
        exchange.pendingAttempts++;
        boolean exceedsMaxAttempts = exchange.attempts.size() > site.settings.maxAttempts();
        if (exchange.isClosed || exceedsMaxAttempts || nowNs >= exchange.deadline || exchange.mayClientHaveLeft()) {
            completeAttempt(attempt, Reason.MOOT, null);
        } else if (nowNs >= cappedDeadline) {
            completeAttempt(attempt, Reason.TIMEOUT, null);
        } else {
            attempt.deadlineTimer = loop.schedule(() -> onAttemptTimeout(attempt), cappedDeadline - nowNs,
                    TimeUnit.NANOSECONDS);
            pool.send(attempt, serverId);
        }
    }

    private void onAttemptTimeout(Attempt attempt) {
        counters.recordTimer(Clock.now() - attempt.deadline);
        // An attempt that was not completely written cannot have run: its connection was not open in time.
        abandonAttempt(attempt, attempt.isFullyWritten() ? Reason.TIMEOUT : Reason.CONNECT_FAILED);
    }

    @Override
    public void cancel(long requestId, int attemptIndex) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && attemptIndex < exchange.attempts.size()) {
            abandonAttempt(exchange.attempts.get(attemptIndex), Reason.CANCELLED);
        }
    }

    @Override
    public void refuse(long requestId, long retryAfterNs) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.isClosed) {
            long cappedRetryAfterNs = site.settings.sendsRetryAfter()
                    ? Math.min(retryAfterNs, site.settings.maxRetryAfterNs()) : 0;
            replyRefused(exchange, (cappedRetryAfterNs + Clock.MILLISECOND - 1) / Clock.MILLISECOND);
        }
    }

    @Override
    public void fail(long requestId) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.isClosed) {
            replyFailed(exchange);
        }
    }

    @Override
    public void scheduleTimer(long dueAt, int token) {
        long delayNs = Math.max(0, dueAt - Clock.now());
        loop.schedule(() -> {
            counters.recordTimer(Clock.now() - dueAt);
            dispatch(null, () -> decisionModule.onTimer(Clock.now(), token));
        }, delayNs, TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdleConnections(long serverId) {
        pool.closeIdleConnections(serverId);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }
}
