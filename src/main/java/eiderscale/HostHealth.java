package eiderscale;

import eiderscale.Api.ListMode;
import eiderscale.Api.Reason;
import eiderscale.Api.Server;
import eiderscale.Api.Settings;
import eiderscale.Api.State;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What this balancer knows of each host: its entry in the server list, our attempts in flight, latency and
 * failure rate, circuit breaker and slow start. Hosts are caches or, where the balancer itself reads from the
 * origin on a cache miss (cache-aside mode), origins; breakers and slow start apply to caches only. A host is
 * called cold during its slow start, and warm afterwards.
 *
 * <p>All times are in nanoseconds. Not thread-safe.
 */
final class HostHealth {
    /**
     * Failure score at which a breaker opens. The score is -ln of the probability that a host failing at the
     * fleet's rate fails all attempts since the breaker was last reset: one in a million at 14.
     */
    private static final double BREAKER_OPEN_SCORE = 14;
    /** Least fleet failure rate used in the failure score. At this rate nine failures open a breaker. */
    private static final double MIN_FLEET_FAILURE_RATE = 0.2;
    /** How long a breaker stays open before it admits a probe, give or take a jitter of 20 %. */
    private static final long BREAKER_OPEN_NS = 1_000_000_000L;
    /**
     * Fraction of a cold host's overload limit that all balancers together use. The limit is
     * {@link Settings#overloadMultiple} times its present capacity within {@link Settings#overloadWindowNs}.
     */
    private static final double OVERLOAD_LIMIT_FRACTION = 0.5;
    /** Time constant over which our send rate is averaged, in {@link Settings#overloadWindowNs}. */
    private static final double SEND_RATE_WINDOWS = 4;
    /** Fraction of an overload window's slow-start tokens that may be spent at once. */
    private static final double BURST_FRACTION = 0.25;
    /** Weight of one attempt in the fleet-wide failure rates, which are EWMAs. */
    private static final double FLEET_EWMA_WEIGHT = 0.02;
    /** Connect failure rate above which idle connections are closed. Dead hosts alone cause a lower rate. */
    static final double CLOSE_IDLE_CONNECT_FAILURE_RATE = 0.1;
    /** Upper limit of {@link #balancersPerHost}. */
    private static final double MAX_BALANCERS_PER_HOST = 8;
    /**
     * Weight of a response in its host's latency when responses are frequent. It grows with the time since
     * the previous response, so that a host that is seldom used is judged by its last response.
     */
    private static final double MIN_LATENCY_EWMA_WEIGHT = 0.1;
    /** Time constant by which that weight grows towards 1. */
    private static final double LATENCY_DECAY_NS = 5e9;
    /**
     * A host is a failure outlier while its failure rate exceeds the fleet's by more than this: about two
     * failures in its last three attempts.
     */
    private static final double OUTLIER_FAILURE_RATE_MARGIN = 0.3;
    /** Weight of one attempt in its host's failure rate, and the time constant by which that rate decays. */
    private static final double HOST_FAILURE_EWMA_WEIGHT = 0.3;
    private static final double HOST_FAILURE_DECAY_NS = 8e9;

    /** One server as this balancer sees it. The fields down to {@code state} come from the server list. */
    static final class Host {
        final long id;
        /** Hashed together with a key for rendezvous hashing; the same at every balancer. */
        final long hashSalt;
        int zone;
        /** Server kind, by which origins differ from caches. */
        int kind;
        int cell;
        double weight;
        double inverseWeight;
        boolean isInOwnZone;
        State state = State.GONE;
        /** Our attempts in flight at this host. */
        int inFlight;
        /** EWMA of how long its responses and time-outs took, 0 before the first. */
        double latencyNs;
        private long latencyUpdatedAt;
        /**
         * EWMA of the share of its attempts that failed, as of {@code failureRateUpdatedAt}. It decays with
         * time, so that the host is tried again.
         */
        private double failureRate;
        private long failureRateUpdatedAt;
        /** Connect failures since the host's last successful response. */
        private int connectFailuresSinceResponse;
        /** Attempts since the last call of {@link #gauges}: succeeded, rejected, failed. */
        private final int[] outcomeCounts = new int[3];
        /** When the host started, as long as its slow start lasts; 0 if it is warm. */
        long slowStartBeganAt;
        /** Token bucket of the slow start as of {@code tokensRefilledAt}; each attempt takes one token. */
        private double slowStartTokens;
        private long tokensRefilledAt;
        /** Sum of the failures' scores since the breaker was last reset, see {@link #BREAKER_OPEN_SCORE}. */
        private double failureScore;
        /**
         * When the open circuit breaker becomes half-open and admits a probe; 0 while it is closed. Any
         * success or rejection closes and resets the breaker.
         */
        private long halfOpenAt;
        /** Whether an attempt was sent while the breaker was open; the next probe waits until one ends. */
        private boolean isProbeInFlight;

        Host(long id) {
            this.id = id;
            this.hashSalt = Candidates.mix64(id + 0x9e3779b97f4a7c15L);
        }
    }

    /** The caches that are ready; only the first {@link #cacheCount} elements are valid. */
    Host[] caches = {};
    /** Our attempts in flight at all caches. */
    int cacheAttemptsInFlight;
    int cacheCount;
    /** The origin hosts that are ready; empty unless the balancer itself reads from the origin. */
    final List<Host> origins = new ArrayList<>();
    private final StartTimes startTimes = new StartTimes();
    /** All hosts that are listed or still have attempts in flight. */
    private final Map<Long, Host> hostsById = new LinkedHashMap<>();
    private final Settings settings;
    private long randomState;
    private double totalCacheWeight;
    /**
     * Balancers per cache, from 1 to {@link #MAX_BALANCERS_PER_HOST}; used as the factor by which hosts in
     * our own zone are preferred while the origin is fast. Where there are many balancers, a key may be hot
     * although none of them sees enough of its requests to detect that. Preferring hosts in the own zone
     * spreads such keys over more hosts.
     */
    double balancersPerHost = 1;
    /**
     * Whether hosts are being ranked in panic mode: if the regular ranking left no host to choose from, it is
     * repeated with breakers ignored and the limits of slow start relaxed.
     */
    boolean isInPanicMode;
    /** Decayed count of requests' first sends to caches, see {@link #recordFirstSend}. */
    private double recentFirstSends;
    private long recentFirstSendsUpdatedAt;
    /** Time of the first send counted, from which on the send rate has been observed. */
    private long firstSendAt;
    /**
     * EWMA of the share of attempts to which live hosts gave no connection. Idle connections of many
     * balancers may fill the hosts' connection tables; they are closed while this rate is high.
     */
    double connectFailureRate;
    /** EWMA, over all caches, of the share of attempts that failed after they may have run. */
    private double fleetFailureRate;

    HostHealth(Settings settings, long seed) {
        this.settings = settings;
        this.randomState = seed;
    }

    /** Applies a server list. From now on a host that is draining or gone gets no new attempts. */
    void applyServerList(long now, ListMode mode, List<Server> servers) {
        if (mode == ListMode.FAILED) {
            return;
        }
        if (mode != ListMode.DELTA) {
            for (Host host : hostsById.values()) {
                host.state = State.GONE;
            }
        }
        for (Server server : servers) {
            Host host = hostsById.computeIfAbsent(server.id(), Host::new);
            boolean hasRestarted = startTimes.recordReportedStart(server.id(), server.startedAt());
            host.zone = server.zone();
            host.isInOwnZone = host.zone == settings.zone();
            host.kind = server.kind();
            host.cell = server.cell();
            host.weight = server.weight() > 0 ? server.weight() : 1;
            host.inverseWeight = 1 / host.weight;
            host.state = server.state();
            long startedAt = startTimes.toActualStart(now, server.startedAt());
            if (hasRestarted && now - startedAt < settings.slowStartNs()) {
                host.slowStartBeganAt = startedAt;
                host.slowStartTokens = nextRandom();
                host.tokensRefilledAt = now;
                closeBreaker(host);
            }
        }
        startTimes.onListApplied(now, mode == ListMode.CACHED);
        rebuildHostLists();
    }

    private void rebuildHostLists() {
        hostsById.values().removeIf(host -> host.state == State.GONE && host.inFlight == 0);
        caches = new Host[hostsById.size()];
        cacheCount = 0;
        totalCacheWeight = 0;
        origins.clear();
        for (Host host : hostsById.values()) {
            if (host.state == State.READY && isOrigin(host)) {
                origins.add(host);
            } else if (host.state == State.READY) {
                caches[cacheCount++] = host;
                totalCacheWeight += host.weight;
            }
        }
        balancersPerHost = Math.max(1, Math.min(MAX_BALANCERS_PER_HOST,
                (double) settings.instanceCount() / Math.max(1, cacheCount)));
    }

    /** Whether the host is an origin that the balancer itself reads from, not a cache. */
    boolean isOrigin(Host host) {
        return settings.isCacheAside() && host.kind == settings.originKind();
    }

    /**
     * Whether the host may be sent a request for a key. Checks the circuit breaker, then the slow start: a
     * cold host takes a growing fraction of the keys, within its token bucket. A host whose slow start is
     * over becomes warm.
     *
     * @param hash the hash of key and host combined
     */
    boolean isEligible(long now, Host host, long hash) {
        if (!isInPanicMode && host.halfOpenAt != 0 && (now < host.halfOpenAt || host.isProbeInFlight)) {
            return false;
        }
        if (host.slowStartBeganAt == 0) {
            return true;
        }
        double capacity = slowStartCapacity(now, host);
        if (capacity >= 1) {
            host.slowStartBeganAt = 0;
            return true;
        }
        // All balancers send a cold host the same keys, so that together they stay within its capacity.
        return ((hash & 2047) < capacity * 2048 || isInPanicMode) && hasSlowStartToken(now, host, capacity);
    }

    /** The present capacity of a cold host, as a fraction of its full capacity: grows linearly to 1. */
    private double slowStartCapacity(long now, Host host) {
        double elapsedFraction = Math.max(0.0, now - host.slowStartBeganAt)
                / Math.max(1, settings.slowStartNs());
        return Math.min(1, settings.initialCapacityFraction()
                + (1 - settings.initialCapacityFraction()) * elapsedFraction);
    }

    /**
     * Refills the slow-start token bucket of a cold host and returns whether it holds a token. The bucket is
     * filled at the host's portion of our own send rate, so that all balancers together stay within what the
     * cold host can serve, however hot its keys are. It starts at a random level: otherwise many balancers
     * with few requests each would send their first one at once.
     */
    private boolean hasSlowStartToken(long now, Host host, double capacity) {
        // Weights may be derived from the load, which makes an idle new host seem many times its size: it
        // counts as average at most.
        double portion = Math.min(host.weight / Math.max(totalCacheWeight, 1e-9),
                1.0 / Math.max(1, cacheCount));
        double tokensPerWindow = capacity * settings.overloadMultiple() * OVERLOAD_LIMIT_FRACTION
                * firstSendsPerWindow(now) * portion * warmHostLoadFactor(now);
        // Requests that arrive singly, at random, must find a second token in the bucket; otherwise half of
        // the budget is lost.
        double bucketSize = Math.max(1,
                Math.max(Math.min(2, tokensPerWindow), tokensPerWindow * BURST_FRACTION));
        host.slowStartTokens += tokensPerWindow * (now - host.tokensRefilledAt) / settings.overloadWindowNs();
        host.slowStartTokens = Math.min(bucketSize, host.slowStartTokens);
        host.tokensRefilledAt = now;
        return host.slowStartTokens >= (isInPanicMode ? 0 : 1);
    }

    /**
     * Recent first sends per overload window. A new balancer has observed only a part of the averaging time;
     * the divisor corrects for that.
     */
    private double firstSendsPerWindow(long now) {
        double timeConstant = SEND_RATE_WINDOWS * settings.overloadWindowNs();
        double observed = Math.max(settings.overloadWindowNs(), now - firstSendAt);
        return recentFirstSends / SEND_RATE_WINDOWS / (1 - Math.exp(-observed / timeConstant));
    }

    /**
     * Load on a warm cache, relative to an equal share, while others are cold and take less. Raises the
     * budget of cold hosts when many are cold at once; otherwise they would stand idle while the few warm
     * ones are overloaded.
     */
    private double warmHostLoadFactor(long now) {
        double capacity = 0;
        for (int i = 0; i < cacheCount; i++) {
            capacity += caches[i].slowStartBeganAt == 0 ? 1 : slowStartCapacity(now, caches[i]);
        }
        return cacheCount / Math.max(1, capacity);
    }

    /**
     * Counts a request for which a cache is about to be selected for the first time; the slow-start budget is
     * based on the rate of these. Retries, which multiply while hosts fail, are not counted.
     */
    void recordFirstSend(long now) {
        firstSendAt = recentFirstSends == 0 ? now : firstSendAt;
        recentFirstSends = 1 + recentFirstSends
                * Math.exp((recentFirstSendsUpdatedAt - now)
                / (SEND_RATE_WINDOWS * settings.overloadWindowNs()));
        recentFirstSendsUpdatedAt = now;
    }

    void onAttemptSent(long now, Host host) {
        host.inFlight++;
        cacheAttemptsInFlight += isOrigin(host) ? 0 : 1;
        host.slowStartTokens -= host.slowStartBeganAt != 0 ? 1 : 0;
        host.isProbeInFlight |= host.halfOpenAt != 0;
    }

    /** Updates the host's latency, failure rate and breaker; the attempt took {@code elapsedNs}. */
    void onAttemptEnd(long now, Host host, Reason reason, long elapsedNs) {
        host.inFlight--;
        cacheAttemptsInFlight -= isOrigin(host) ? 0 : 1;
        boolean hasFailed = reason == Reason.ERROR || reason == Reason.RESET || reason == Reason.TIMEOUT;
        updateConnectFailureRate(host, reason);
        if (reason.isSuccess() || reason == Reason.TIMEOUT) {
            double weight = host.latencyNs == 0 ? 1 : Math.max(MIN_LATENCY_EWMA_WEIGHT,
                    1 - Math.exp((host.latencyUpdatedAt - now) / LATENCY_DECAY_NS));
            host.latencyNs += weight * (elapsedNs - host.latencyNs);
            host.latencyUpdatedAt = now;
        }
        if (isOrigin(host)) {
            return;
        }
        if (reason.isSuccess() || hasFailed || reason == Reason.REJECTED) {
            host.outcomeCounts[reason.isSuccess() ? 0 : hasFailed ? 2 : 1]++;
        }
        if (reason.isSuccess() || hasFailed) {
            host.failureRate = decayedFailureRate(now, host) * (1 - HOST_FAILURE_EWMA_WEIGHT)
                    + (hasFailed ? HOST_FAILURE_EWMA_WEIGHT : 0);
            host.failureRateUpdatedAt = now;
            fleetFailureRate += FLEET_EWMA_WEIGHT * ((hasFailed ? 1 : 0) - fleetFailureRate);
        }
        if (reason.isSuccess() || reason == Reason.REJECTED) {
            closeBreaker(host);
        } else if (reason == Reason.CONNECT_FAILED) {
            // Two consecutive connect failures open the breaker.
            recordFailure(now, host, BREAKER_OPEN_SCORE / 2);
        } else if (hasFailed) {
            // The higher the fleet's failure rate, the less a failure counts: when all hosts fail for a
            // common cause, such as a slow origin, opening breakers would only move keys to hosts that do not
            // hold them.
            recordFailure(now, host, -Math.log(Math.max(MIN_FLEET_FAILURE_RATE, fleetFailureRate)));
        }
        host.isProbeInFlight = false;
    }

    /**
     * Updates the connect failure rate with the end of an attempt. A host that responds although an attempt
     * since its last response got no connection is live, and its connection table is full. If its breaker
     * opened meanwhile it may as well have been dead, and is not counted: idle connections to other hosts do
     * not fill the table of a dead one.
     */
    private void updateConnectFailureRate(Host host, Reason reason) {
        if (reason == Reason.CONNECT_FAILED) {
            host.connectFailuresSinceResponse++;
        } else if (reason.isSuccess()) {
            if (host.halfOpenAt == 0 && host.connectFailuresSinceResponse > 0) {
                connectFailureRate += FLEET_EWMA_WEIGHT * (1 - connectFailureRate);
            }
            connectFailureRate *= 1 - FLEET_EWMA_WEIGHT;
            host.connectFailuresSinceResponse = 0;
        }
    }

    private static double decayedFailureRate(long now, Host host) {
        return host.failureRate * Math.exp((host.failureRateUpdatedAt - now) / HOST_FAILURE_DECAY_NS);
    }

    /**
     * Whether the host has lately failed clearly more often than the fleet. Outlier detection covers what
     * breakers miss: with many balancers each one meets a host that fails half of its requests too seldom to
     * open a breaker.
     */
    boolean isFailureOutlier(long now, Host host) {
        return decayedFailureRate(now, host) > fleetFailureRate + OUTLIER_FAILURE_RATE_MARGIN;
    }

    private static void closeBreaker(Host host) {
        host.failureScore = 0;
        host.halfOpenAt = 0;
    }

    /** Adds to the failure score; opens the breaker at the threshold, and again after a failed probe. */
    private void recordFailure(long now, Host host, double score) {
        host.failureScore += score;
        if (host.failureScore >= BREAKER_OPEN_SCORE && (host.halfOpenAt == 0 || host.isProbeInFlight)) {
            host.halfOpenAt = now + (long) (BREAKER_OPEN_NS * (0.8 + 0.4 * nextRandom()));
        }
    }

    /** State of the caches for the periodic log line; clears the outcome counts. */
    String gauges() {
        int openBreakers = 0;
        int coldHosts = 0;
        int outliers = 0;
        StringBuilder perHost = new StringBuilder();
        for (int i = 0; i < cacheCount; i++) {
            Host host = caches[i];
            openBreakers += host.halfOpenAt != 0 ? 1 : 0;
            coldHosts += host.slowStartBeganAt != 0 ? 1 : 0;
            outliers += host.failureRate > fleetFailureRate + OUTLIER_FAILURE_RATE_MARGIN ? 1 : 0;
            int[] counts = host.outcomeCounts;
            perHost.append(host.isInOwnZone ? " *" : " ").append(host.inFlight).append('+').append(counts[0])
                    .append('/').append(counts[1]).append('/').append(counts[2])
                    .append('@').append((long) (host.latencyNs / 1e6));
            Arrays.fill(counts, 0);
        }
        return "caches " + cacheCount + " open-breakers " + openBreakers + " cold " + coldHosts
                + " suspects " + outliers
                + ", each, * in our zone: in flight + answered/turned away/failed @ latency ms" + perHost;
    }

    /** The next pseudo-random number in [0, 1), from the seed (SplitMix64). */
    double nextRandom() {
        randomState += 0x9e3779b97f4a7c15L;
        return Candidates.toUnitInterval(Candidates.mix64(randomState));
    }
}
