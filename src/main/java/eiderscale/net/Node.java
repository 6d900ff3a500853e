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
    /** How long new connections are still accepted and served after a stop is requested, as clients keep connecting. */
    private static final long ACCEPT_GRACE_PERIOD_MS = 600;
    /** Longest time that a stop waits for open requests to reach their deadlines: the process is killed soon after. */
    private static final long MAX_DRAIN_NS = 3 * Clock.SECOND;
    /** Time for the last answers to be sent after the drain deadline. */
    private static final long FINAL_FLUSH_TIMEOUT_NS = 70 * Clock.MILLISECOND;
    private static final long STOP_CHECK_INTERVAL_MS = 10;
    private static final long SWEEP_INTERVAL_MS = 1_000;
    private static final int SWEEPS_PER_LOG_LINE = 10;
    /** File descriptors reserved for the JVM, discovery and the listening socket; at most a quarter of all. */
    private static final int RESERVED_DESCRIPTORS = 96;
    /** Fraction of the remaining sockets that is for clients; the rest is for connections to cache hosts. */
    private static final double CLIENT_SOCKET_FRACTION = 0.45;
    /** Client connections beyond that fraction, which are accepted only to be refused. */
    private static final int MAX_SURPLUS_CLIENTS = 16;

    private final Config config;
    private final EventLoop loop;
    private final Counters counters = new Counters();
    private final Balancer balancer;
    private final ClientServer server;
    private Future<?> sweepTask;
    private int sweepCount;

    /** Must be called on the event loop, like all methods of this class. */
    Node(Config config, EventLoop loop, Balancer.ModuleFactory module) {
        this.config = config;
        this.loop = loop;
        int availableSockets = config.maxSockets() - Math.min(RESERVED_DESCRIPTORS, config.maxSockets() / 4);
        int maxClients = Math.max(1, (int) (availableSockets * CLIENT_SOCKET_FRACTION));
        balancer = new Balancer(config, loop, counters, module,
                Math.max(1, availableSockets - maxClients - MAX_SURPLUS_CLIENTS));
        server = new ClientServer(balancer, loop, counters, maxClients, MAX_SURPLUS_CLIENTS);
    }

    /** Completes once requests may be served with the current list of hosts; the program should not listen earlier. */
    Future<Void> ready() {
        return balancer.ready();
    }

    /** Starts listening for clients. May be called again if it failed. */
    ChannelFuture startListening() {
        if (sweepTask == null) {
            sweepTask = loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
        return server.listen(config.listenAddress());
    }

    /** Periodic work: closes idle connections, and logs the counters regularly and after trouble. */
    private void sweep() {
        try {
            balancer.evictExpiredConnections();
            if (counters.hasNewProblems() | ++sweepCount % SWEEPS_PER_LOG_LINE == 0) {
                logCounters();
            }
        } catch (RuntimeException e) {
            // An exception that left this method would cancel all further sweeps.
            Counters.log("unexpected exception", e);
        }
    }

    private void logCounters() {
        counters.printMetrics(gauges());
    }

    String gauges() {
        return server.gauges() + " " + balancer.gauges();
    }

    /** Applies a list of hosts that does not come from discovery. */
    void onList(Api.ListMode mode, List<Catalog.Member> members) {
        balancer.onList(mode, members);
    }

    /** Applies a new configuration. Only discovery's address takes effect; the rest cannot change at run time. */
    void reload(Config newConfig) {
        balancer.setDiscoveryAddress(newConfig.discoveryAddress());
    }

    /**
     * Graceful shutdown: stops accepting connections after {@link #ACCEPT_GRACE_PERIOD_MS}, then waits for the open
     * requests. The future completes when every request has been answered and every client has disconnected, or
     * {@link #FINAL_FLUSH_TIMEOUT_NS} after the drain deadline.
     */
    Future<Void> stop() {
        Promise<Void> done = loop.newPromise();
        long longestDeadlineNs = config.site().settings.requestClasses().stream()
                .mapToLong(Api.RequestClass::timeoutNs).max().orElse(0);
        long drainDeadline = Clock.now() + ACCEPT_GRACE_PERIOD_MS * Clock.MILLISECOND
                + Math.min(longestDeadlineNs, MAX_DRAIN_NS);
        loop.schedule(() -> {
            try {
                server.close();
            } finally {
                awaitDrained(done, drainDeadline);
            }
        }, ACCEPT_GRACE_PERIOD_MS, TimeUnit.MILLISECONDS);
        return done;
    }

    /** Checks whether the stop is complete, else checks again later; past the deadline, answers open requests first. */
    private void awaitDrained(Promise<Void> done, long drainDeadline) {
        long now = Clock.now();
        if (now >= drainDeadline) {
            answerOpenRequests();
        }
        // After the flush timeout only clients that do not read their answers can be left.
        if (server.isTerminated() && balancer.openRequests() == 0 || now >= drainDeadline + FINAL_FLUSH_TIMEOUT_NS) {
            logCounters();
            done.setSuccess(null);
        } else {
            loop.schedule(() -> awaitDrained(done, drainDeadline), STOP_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void answerOpenRequests() {
        try {
            balancer.replyToAllWithoutModule();
        } catch (RuntimeException e) {
            Counters.log("unexpected exception", e);
        }
    }
}
