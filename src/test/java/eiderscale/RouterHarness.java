package eiderscale;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Test harness for a {@link Router}: drives its clock by hand, delivers events to it and records the actions that it
 * asks for.
 *
 * <p>All times are in nanoseconds on that clock, except where a name ends in Ms.
 */
final class RouterHarness implements Api.Actions {
    /** One millisecond in nanoseconds. */
    static final long MS = 1_000_000L;
    /** Index of the request class of idempotent reads; see {@link SettingsBuilder#build}. */
    static final int READ = 0;
    /** Index of the request class of writes that servers deduplicate for 500 ms. */
    static final int DEDUPLICATED_WRITE = 1;
    /** Index of the request class of writes that must not be executed twice. */
    static final int NON_IDEMPOTENT_WRITE = 2;
    static final long NO_LIMIT = 0;

    /**
     * A call of {@link Api.Actions#send}.
     *
     * @param attemptIndex which attempt of the request, from 0
     * @param attemptDeadline when the attempt is to be abandoned
     */
    record SentAttempt(long requestId, int attemptIndex, long serverId, long attemptDeadline, long sentAt) {
    }

    /** A call of {@link Api.Actions#refuse}. */
    record Refusal(long requestId, long retryAfterNs) {
    }

    /** A call of {@link Api.Actions#scheduleTimer}. */
    record ScheduledTimer(long dueAt, int token) {
    }

    /** The attempts sent, in order. */
    final List<SentAttempt> sentAttempts = new ArrayList<>();
    /** The attempts cancelled, as {@code requestId/attemptIndex}, in order. */
    final List<String> cancelledAttempts = new ArrayList<>();
    final List<Refusal> refusals = new ArrayList<>();
    /** The requests that got the final answer that they failed, in order. */
    final List<Long> failedRequestIds = new ArrayList<>();
    /** The servers to which idle connections were closed, in order; one entry per call. */
    final List<Long> idleClosedServerIds = new ArrayList<>();
    /** The timers that have not fired yet. */
    final List<ScheduledTimer> pendingTimers = new ArrayList<>();
    /** How often the router has asked for a subscription to discovery. */
    int subscribeCount;
    /** The present instant, passed to the router with each event. */
    long now = 1_000_000 * MS;
    final Api.Settings settings;
    final Router router;

    /** Creates a router without servers and with a fixed seed. */
    RouterHarness(SettingsBuilder builder) {
        this(builder, 7);
    }

    /** Creates a router without servers. */
    RouterHarness(SettingsBuilder builder, long seed) {
        settings = builder.build();
        router = new Router(settings, seed, this);
    }

    @Override
    public void send(long requestId, long serverId, long attemptDeadline) {
        int attemptIndex = (int) sentAttempts.stream().filter(s -> s.requestId == requestId).count();
        sentAttempts.add(new SentAttempt(requestId, attemptIndex, serverId, attemptDeadline, now));
    }

    @Override
    public void cancel(long requestId, int attemptIndex) {
        cancelledAttempts.add(requestId + "/" + attemptIndex);
    }

    @Override
    public void refuse(long requestId, long retryAfterNs) {
        refusals.add(new Refusal(requestId, retryAfterNs));
    }

    @Override
    public void fail(long requestId) {
        failedRequestIds.add(requestId);
    }

    @Override
    public void scheduleTimer(long dueAt, int token) {
        pendingTimers.add(new ScheduledTimer(dueAt, token));
    }

    @Override
    public void closeIdleConnections(long serverId) {
        idleClosedServerIds.add(serverId);
    }

    @Override
    public void subscribe() {
        subscribeCount++;
    }

    boolean isRefused(long requestId) {
        return refusals.stream().anyMatch(r -> r.requestId == requestId);
    }

    /** A ready cache that started long ago. */
    static Api.Server server(long id) {
        return new Api.Server(id, 0, 0, 0, Api.State.READY, 1, 0);
    }

    /** A cache that started at the given instant, or long ago if that is 0. */
    static Api.Server server(long id, Api.State state, long startedAt) {
        return new Api.Server(id, 0, 0, 0, state, 1, startedAt);
    }

    /** A ready origin server, used in cache-aside mode only. */
    static Api.Server origin(long id) {
        return new Api.Server(id, 0, 2, 0, Api.State.READY, 1, 0);
    }

    /** A harness in cache-aside mode with the caches 1 to {@code cacheCount} and the origin 99. */
    static RouterHarness cacheAside(int cacheCount) {
        SettingsBuilder builder = new SettingsBuilder();
        builder.isCacheAside = true;
        List<Api.Server> list = new ArrayList<>();
        for (int i = 1; i <= cacheCount; i++) {
            list.add(server(i));
        }
        list.add(origin(99));
        return new RouterHarness(builder).applyFullList(list);
    }

    /** Replaces the server list by the caches 1 to {@code count}. */
    RouterHarness withServers(int count) {
        List<Api.Server> list = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            list.add(server(i));
        }
        return applyFullList(list);
    }

    /** Delivers a full server list. */
    RouterHarness applyFullList(List<Api.Server> servers) {
        router.onServerList(now, Api.ListMode.FULL, servers);
        return this;
    }

    /** Delivers the server list entries that have changed. */
    RouterHarness applyDelta(Api.Server... servers) {
        router.onServerList(now, Api.ListMode.DELTA, List.of(servers));
        return this;
    }

    /** Delivers a request of tenant 0 that the client sends for the first time; see the other overload. */
    SentAttempt submitRequest(long id, int classIndex, long key) {
        return submitRequest(id, classIndex, key, 0, false);
    }

    /**
     * Delivers a request with a deadline after half the longest client wait of its class. Returns the attempt that is
     * sent at once, or null if there is none.
     */
    SentAttempt submitRequest(long id, int classIndex, long key, int tenantIndex, boolean isClientRetry) {
        int sentBefore = sentAttempts.size();
        long deadline = now + settings.requestClasses().get(classIndex).timeoutNs() / 2;
        router.onRequest(now, new Api.Request(id, classIndex, tenantIndex, key, deadline, 0, isClientRetry,
                classIndex != READ));
        return sentAttempts.size() > sentBefore ? sentAttempts.get(sentBefore) : null;
    }

    /** Reports the end of an attempt; returns the attempt that is sent in turn, or null if there is none. */
    SentAttempt endAttempt(long id, int attemptIndex, Api.Reason reason) {
        int sentBefore = sentAttempts.size();
        router.onAttemptOutcome(now,
                new Api.AttemptOutcome(id, attemptIndex, reason, 0, reason == Api.Reason.OK, new float[0]));
        return sentAttempts.size() > sentBefore ? sentAttempts.get(sentBefore) : null;
    }

    /** Ends the pending attempt of a request and all that are sent after it for the same reason. */
    void endAllAttempts(long id, Api.Reason reason) {
        for (int attemptIndex = 0; attemptIndex < settings.maxAttempts(); attemptIndex++) {
            endAttempt(id, attemptIndex, reason);
        }
    }

    /** Makes the router measure a slow origin: 40 writes that take 900 ms each, of a goal time of 1000 ms. */
    void makeOriginSlow() {
        for (long id = 2_000_000; id < 2_000_040; id++) {
            submitRequest(id, DEDUPLICATED_WRITE, id);
            advanceMs(900);
            endAttempt(id, 0, Api.Reason.OK);
        }
    }

    /**
     * Opens the circuit breaker of the first candidate for key 5 by connect failures of the requests 1 and 2; returns
     * that host's id.
     */
    long openBreaker() {
        long deadHostId = 0;
        for (long id = 1; id <= 2; id++) {
            deadHostId = submitRequest(id, READ, 5).serverId();
            endAttempt(id, 0, Api.Reason.CONNECT_FAILED);
            endAttempt(id, 1, Api.Reason.OK);
        }
        return deadHostId;
    }

    /** Advances the clock; fires the timers that are due meanwhile, each at its due time. */
    void advanceMs(long durationMs) {
        long endAt = now + durationMs * MS;
        while (true) {
            ScheduledTimer next = null;
            for (ScheduledTimer timer : pendingTimers) {
                if (timer.dueAt <= endAt && (next == null || timer.dueAt < next.dueAt)) {
                    next = timer;
                }
            }
            if (next == null) {
                now = endAt;
                return;
            }
            pendingTimers.remove(next);
            now = Math.max(now, next.dueAt);
            router.onTimer(now, next.token);
        }
    }

    /**
     * Serves {@code readCount} reads that take 10 ms each, as latency samples for hedging, and then clears the recorded
     * attempts. Hedging needs 32 samples.
     */
    void fillLatencyDigest(int readCount) {
        for (int i = 0; i < readCount; i++) {
            long id = 1_000_000 + i;
            Objects.requireNonNull(submitRequest(id, READ, 10_000 + i));
            advanceMs(10);
            endAttempt(id, 0, Api.Reason.OK);
        }
        sentAttempts.clear();
        cancelledAttempts.clear();
    }

    /**
     * Builds settings with three request classes: reads, deduplicated writes and non-idempotent writes, each with a
     * goal time of 1000 ms. The fields are named as the components of {@link Api.Settings} and
     * {@link Api.RequestClass}; tests change them before {@link #build}.
     */
    static final class SettingsBuilder {
        /** If true, servers of kind 2 are origins. */
        boolean isCacheAside;
        boolean mustSubscribe;
        boolean mayHedge = true;
        int maxAttempts = 6;
        int rank;
        int instanceCount = 1;
        /** Of all three classes. */
        double lateValue;
        /** Of deduplicated writes. */
        Api.Group dedupScope = Api.Group.ALL;
        List<Api.Tenant> tenants = List.of();
        double overShareValue = 1;
        /** Of deduplicated writes. */
        boolean isSerialByKey;
        /** Null for the router's default. */
        Api.RetryBudget retryBudget;

        Api.Settings build() {
            List<Api.RequestClass> classes = List.of(
                    new Api.RequestClass(1000 * MS, 0, 4000 * MS, 3, lateValue, Api.Effect.IDEMPOTENT,
                            Api.Group.ALL, 0, false, false),
                    new Api.RequestClass(1000 * MS, 0, 4000 * MS, 9, lateValue, Api.Effect.DEDUPLICATED,
                            dedupScope, 500 * MS, false, isSerialByKey),
                    new Api.RequestClass(1000 * MS, 0, 4000 * MS, 5, lateValue, Api.Effect.NON_IDEMPOTENT,
                            Api.Group.CELL, 0, false, false));
            // Refusals tell clients to retry after at most 2 s. Servers get nothing 250 ms after they started to drain;
            // instances subscribe within 10 s. Slow start: from 0.2 of the capacity, over 10 s; more than 4 times the
            // load that matches the capacity within 1 s is overload. Keys cool down for 50 ms.
            return new Api.Settings(classes, tenants, 0, rank, instanceCount, isCacheAside, isCacheAside ? 2 : -1,
                    mustSubscribe, maxAttempts, mayHedge, true, true, 2000 * MS, 250 * MS, 10_000 * MS,
                    0.2, 10_000 * MS, 4, 1000 * MS, overShareValue,
                    50 * MS, retryBudget, new Api.LoadReportLayout(-1, -1, -1));
        }
    }
}
