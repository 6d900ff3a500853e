package eiderscale.net;

import eiderscale.Api;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One balancer instance: creates its parts, runs periodic work and stops them. Everything runs on one event loop. */
final class Node {
    /** How long new connections are accepted and served after a stop was requested, as clients still connect. */
    private static final long ACCEPT_GRACE_PERIOD_MS = 600;
    /** Longest wait of a stop for open requests to reach their deadlines: the process is killed soon after. */
    private static final long MAX_DRAIN_NS = 3 * Clock.SECOND;
    /** Time for the last replies to be sent after the drain deadline. */
    private static final long FINAL_FLUSH_TIMEOUT_NS = 70 * Clock.MILLISECOND;
    private static final long STOP_CHECK_INTERVAL_MS = 10;
    private static final long SWEEP_INTERVAL_MS = 1_000;
    private static final int SWEEPS_PER_METRICS_LINE = 10;
    /** File descriptors reserved for the JVM, discovery and the listening socket; never more than a quarter of all. */
    private static final int RESERVED_DESCRIPTORS = 96;
    /** Fraction of the other descriptors that is for client connections; the rest is for cache host connections. */
    private static final double CLIENT_SOCKET_FRACTION = 0.45;
    /** Client connections accepted above that limit, only to reject their requests. */
    private static final int MAX_OVER_LIMIT_CLIENTS = 16;

    private final Config config;
    private final EventLoop loop;
    private final Counters counters = new Counters();
    private final Balancer balancer;
    private final ClientServer clientServer;
    private Future<?> sweepTask;
    private int sweepCount;

    /** Creates an instance. Must be called on the event loop, like all methods of this class. */
    Node(Config config, EventLoop loop, Balancer.ModuleFactory moduleFactory) {
        this(config, loop, moduleFactory, MemoryBudget.ofThisProcess());
    }

    /** Creates an instance that holds at most so much for its peers. Must be called on the event loop. */
    Node(Config config, EventLoop loop, Balancer.ModuleFactory moduleFactory, MemoryBudget memoryBudget) {
        this.config = config;
        this.loop = loop;
        int availableSockets = config.maxSockets() - Math.min(RESERVED_DESCRIPTORS, config.maxSockets() / 4);
        int maxClients = Math.max(1, (int) (availableSockets * CLIENT_SOCKET_FRACTION));
        balancer = new Balancer(config, loop, counters, memoryBudget, moduleFactory,
                Math.max(1, availableSockets - maxClients - MAX_OVER_LIMIT_CLIENTS));
        clientServer = new ClientServer(balancer, loop, counters, memoryBudget, maxClients,
                MAX_OVER_LIMIT_CLIENTS);
    }

    /**
     * Returns a future that completes once requests may be served with the current host list. The program should not
     * listen earlier.
     */
    Future<Void> hostListReady() {
        return balancer.hostListReady();
    }

    /** Starts listening for clients. May be called again if it failed. */
    ChannelFuture startListening() {
        if (sweepTask == null) {
            sweepTask = loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
        return clientServer.listen(config.listenAddress());
    }

    /**
     * Periodic work: closes expired and stalled connections, and logs the metrics regularly and soon after a problem.
     */
    private void sweep() {
        try {
            balancer.evictExpiredConnections();
            clientServer.sweep();
            if (counters.hasNewProblems() | ++sweepCount % SWEEPS_PER_METRICS_LINE == 0) {
                logMetrics();
            }
        } catch (Throwable e) {
            // Caught, as an exception thrown from a periodic task would cancel its further runs.
            Counters.log("unexpected exception in the periodic work", e);
        }
    }

    private void logMetrics() {
        counters.printMetrics(gauges());
    }

    /** Returns the current values for the metrics line. */
    String gauges() {
        return clientServer.gauges() + " " + balancer.gauges();
    }

    /** Applies a host list that does not come from discovery. */
    void onHostList(Api.ListMode mode, List<HostList.Member> members) {
        balancer.onHostList(mode, members);
    }

    /** Applies a new configuration. Only discovery's address takes effect; nothing else can change at run time. */
    void reload(Config newConfig) {
        balancer.setDiscoveryAddress(newConfig.discoveryAddress());
    }

    /**
     * Shuts down gracefully: stops accepting connections after {@link #ACCEPT_GRACE_PERIOD_MS}, then waits for the open
     * requests. The future completes when every request has its reply and every client has disconnected, or
     * {@link #FINAL_FLUSH_TIMEOUT_NS} after the drain deadline.
     */
    Future<Void> stop() {
        Promise<Void> done = loop.newPromise();
        long longestTimeoutNs = config.site().settings.requestClasses().stream()
                .mapToLong(Api.RequestClass::timeoutNs).max().orElse(0);
        long drainDeadline = Clock.now() + ACCEPT_GRACE_PERIOD_MS * Clock.MILLISECOND
                + Math.min(longestTimeoutNs, MAX_DRAIN_NS);
        loop.schedule(() -> {
            try {
                clientServer.close();
            } finally {
                awaitDrained(done, drainDeadline);
            }
        }, ACCEPT_GRACE_PERIOD_MS, TimeUnit.MILLISECONDS);
        return done;
    }

    /** Checks periodically whether the stop is complete; from the drain deadline on, replies to open requests first. */
    private void awaitDrained(Promise<Void> done, long drainDeadline) {
        long now = Clock.now();
        if (now >= drainDeadline) {
            replyToOpenRequests();
        }
        // After the flush timeout only clients that do not read their replies can be left.
        if (clientServer.isTerminated() && balancer.openRequests() == 0
                || now >= drainDeadline + FINAL_FLUSH_TIMEOUT_NS) {
            logMetrics();
            done.setSuccess(null);
        } else {
            loop.schedule(() -> awaitDrained(done, drainDeadline), STOP_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void replyToOpenRequests() {
        try {
            balancer.replyToAllWithoutModule();
        } catch (Throwable e) {
            Counters.log("unexpected exception while replying to open requests", e);
        }
    }
}
