package eiderscale;

import eiderscale.Api.Actions;
import eiderscale.Api.AttemptOutcome;
import eiderscale.Api.Effect;
import eiderscale.Api.Group;
import eiderscale.Api.ListMode;
import eiderscale.Api.Reason;
import eiderscale.Api.Request;
import eiderscale.Api.RequestClass;
import eiderscale.Api.Server;
import eiderscale.Api.Settings;
import eiderscale.HostHealth.Host;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The decision module: chooses a server for each attempt of a request, decides on hedges, retries, refusals
 * and failures, and schedules subscriptions to the server list. See {@link Api} for threading, clock, units.
 *
 * <p>What holds for every request: it gets exactly one final answer unless its client disconnects first; a
 * further attempt is sent only if it cannot cause a second effect ({@link #isResendSafe}); it is refused only
 * if a retry by the client is safe ({@link #isRefusalSafe}); requests with the same key run one at a time if
 * their class asks for it ({@link KeyOrder}); hedges and retries are limited by a budget ({@link Hedging}).
 */
public final class Router implements Api.Events {
    /** Upper limit of attempts per request, the first one included, whatever the settings allow. */
    private static final int MAX_ATTEMPTS = 6;
    /** An instant that is never reached. */
    private static final long NEVER = Long.MAX_VALUE;
    private static final int REQUEST_TIMER_TOKEN = 1;
    private static final int SUBSCRIBE_TIMER_TOKEN = 2;
    /**
     * Longest mean time between the first subscriptions of successive instances. In a small fleet it limits
     * how long an instance uses the list from before its restart.
     */
    private static final long MAX_SUBSCRIBE_SPACING_NS = 200_000_000L;
    /** Fraction of {@link Settings#subscribeWithinNs} over which the instances' subscriptions are spread. */
    private static final double SUBSCRIBE_SPREAD_FRACTION = 0.5;
    /**
     * Longest wait for the next call to discovery after a failed one. Changes count as known to this instance
     * 6 s after discovery became reachable again: a third of that each is for this wait, for a wait in
     * discovery's queue that ends with a refusal, and for the call after that.
     */
    private static final double MAX_RESUBSCRIBE_PERIOD_NS = 6e9 / 3;
    /** An origin whose mean latency is below this fraction of the goal time counts as having room. */
    private static final double FAST_ORIGIN_GOAL_FRACTION = 0.5;
    /** Fraction of the servers' deduplication window within which a request is resent; the rest is margin. */
    private static final double DEDUP_WINDOW_FRACTION = 0.9;

    /** One attempt of a request. */
    private static final class Attempt {
        final Host host;
        final long sentAt;
        boolean isPending = true;
        /** Known not to have been executed; false while the attempt is pending. */
        boolean neverExecuted;

        Attempt(Host host, long sentAt) {
            this.host = host;
            this.sentAt = sentAt;
        }
    }

    /** A request from its admission until it has ended and the outcome of its last attempt was reported. */
    private static final class InFlightRequest {
        final Request request;
        final RequestClass requestClass;
        /** When an answer loses its value: at the goal time if late answers have none, else the deadline. */
        final long effectiveDeadline;
        final Attempt[] attempts;
        int sentAttempts;
        int pendingAttempts;
        int rejectedByCaches;
        /** Has had its final answer, or its client is gone; attempts may still be pending. */
        boolean isEnded;
        /** Missed at a cache, or was sent to the origin: it is not hedged. */
        boolean needsOrigin;
        /** The first byte of a streamed answer has arrived. */
        boolean isStreaming;
        /** Has not been sent yet, as earlier requests with its key have not ended. */
        boolean isWaitingForKey;
        /** When the hedge is due. */
        long hedgeAt = NEVER;
        /** When the request, if still unanswered, is reported to admission control as slow. */
        long slowSignalAt = NEVER;
        /** When its timer is due: the earlier of the two; while it waits for its key, the end of the wait. */
        long timerAt;

        InFlightRequest(Request request, RequestClass requestClass, long now, int maxAttempts) {
            this.request = request;
            this.requestClass = requestClass;
            long goalTimeNs = requestClass.goalTimeNs()
                    + (long) (requestClass.goalTimePerWork() * request.workHintNs());
            this.effectiveDeadline = requestClass.lateValue() > 0 || requestClass.isStreamed()
                    ? request.deadline() : Math.min(request.deadline(), now + goalTimeNs);
            this.attempts = new Attempt[maxAttempts];
        }

        /** The earliest attempt that is not known never to have been executed, or null. */
        Attempt firstPossiblyExecutedAttempt() {
            return Arrays.stream(attempts, 0, sentAttempts).filter(a -> !a.neverExecuted).findFirst()
                    .orElse(null);
        }

        /** Whether it runs alone among the requests with its key. */
        boolean isSerialByKey() {
            return requestClass.isSerialByKey() && request.key() != 0;
        }
    }

    /** A timer of a request; stale once the request has ended or has set another timer. */
    private record RequestTimer(long dueAt, InFlightRequest inFlight) {
        boolean isStale() {
            return inFlight.isEnded || inFlight.timerAt != dueAt;
        }
    }

    private final Settings settings;
    private final Actions actions;
    private final HostHealth health;
    private final Candidates candidates;
    private final Hedging hedging;
    private final Admission admission;
    private final Map<Long, InFlightRequest> inFlightRequests = new HashMap<>();
    private final KeyOrder<InFlightRequest> keyOrder;
    private final PriorityQueue<RequestTimer> requestTimers = new PriorityQueue<>(
            Comparator.comparingLong(RequestTimer::dueAt)
                    .thenComparingLong(requestTimer -> requestTimer.inFlight.request.id()));
    /** Waiting requests that are first for their key now that another one has ended. */
    private final Deque<InFlightRequest> unblockedRequests = new ArrayDeque<>();
    /** Whether {@link #endRequest} is emptying {@link #unblockedRequests} further up the call stack. */
    private boolean isStartingUnblocked;
    private final int maxAttempts;
    /** The due time of the last timer asked of {@link #actions} for requests. */
    private long nextTimerAt;
    /**
     * This instance's position in the period over which all instances spread their subscriptions, in [0, 1):
     * the slot of its rank, at random within the slot.
     */
    private final double subscribePhase;

    /**
     * Creates a router without servers; the first server list follows as an event.
     *
     * @param seed source of all random choices: the same seed and events give the same actions
     * @param actions called back during events, never from this constructor
     */
    public Router(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.health = new HostHealth(settings, seed);
        this.candidates = new Candidates(health);
        this.admission = new Admission(settings);
        this.hedging = new Hedging(settings.retryBudget());
        this.keyOrder = new KeyOrder<>(settings.keyCooldownNs());
        this.maxAttempts = Math.max(1, Math.min(MAX_ATTEMPTS, settings.maxAttempts()));
        double slotOffset = Candidates.toUnitInterval(Candidates.mix64(seed));
        this.subscribePhase = (settings.rank() + slotOffset) / Math.max(1, settings.instanceCount()) % 1;
    }

    @Override
    public void onServerList(long now, ListMode mode, List<Server> servers) {
        health.applyServerList(now, mode, servers);
        boolean hasFailed = mode == ListMode.FAILED;
        if (settings.mustSubscribe() && (hasFailed || mode == ListMode.CACHED)) {
            scheduleSubscribe(now, hasFailed);
        }
    }

    /**
     * Schedules a subscription so that the instances' calls to discovery are spread out. After a failure it
     * is due at the instance's fixed phase of a period on the clock that all instances share, so the calls
     * stay spread however often and whenever they fail.
     */
    private void scheduleSubscribe(long now, boolean hasFailed) {
        double maxSpreadNs = settings.subscribeWithinNs() * SUBSCRIBE_SPREAD_FRACTION;
        if (hasFailed) {
            long periodNs = (long) Math.max(1, Math.min(maxSpreadNs, MAX_RESUBSCRIBE_PERIOD_NS));
            actions.scheduleTimer(now + 1 + Math.floorMod((long) (subscribePhase * periodNs) - now, periodNs),
                    SUBSCRIBE_TIMER_TOKEN);
        } else {
            double spreadNs =
                    Math.min(MAX_SUBSCRIBE_SPACING_NS * (double) settings.instanceCount(), maxSpreadNs);
            actions.scheduleTimer(now + 1 + (long) (spreadNs * subscribePhase), SUBSCRIBE_TIMER_TOKEN);
        }
    }

    @Override
    public void onRequest(long now, Request request) {
        hedging.requestReceived(now);
        RequestClass requestClass = settings.requestClasses().get(request.classIndex());
        InFlightRequest inFlight = new InFlightRequest(request, requestClass, now, maxAttempts);
        boolean isOverShare = admission.isOverShare(now, request.tenantIndex());
        boolean isTooLate = inFlight.effectiveDeadline <= now;
        if (isTooLate || request.isWrite() && !admission.admitsOriginWork(true, health.nextRandom())
                || admission.shouldShed(isOverShare, request.isWrite(), health.nextRandom())) {
            actions.refuse(request.id(), isOverShare || isTooLate ? settings.maxRetryAfterNs() : 0);
            return;
        }
        admission.takeTenantToken(request.tenantIndex());
        inFlightRequests.put(request.id(), inFlight);
        candidates.count(now, request.key());
        if (!inFlight.isSerialByKey()) {
            sendFirstAttempt(now, inFlight);
            return;
        }
        // A request expected to wait past its effective deadline is refused at once: without that, the queue
        // of a key could grow without bound.
        inFlight.isWaitingForKey = true;
        if (now + keyOrder.enqueue(now, request.key(), inFlight) * admission.meanOrderedAttemptNs
                < inFlight.effectiveDeadline) {
            startOrExpire(now, inFlight);
        } else {
            refuseOrFail(now, inFlight);
        }
    }

    /**
     * Starts a request that waits for its key if it is the first one and the key's cooldown is over; ends it
     * if its effective deadline has passed.
     */
    private void startOrExpire(long now, InFlightRequest inFlight) {
        long earliestStartAt = keyOrder.earliestStartAt(inFlight.request.key(), inFlight);
        if (now >= inFlight.effectiveDeadline) {
            refuseOrFail(now, inFlight);
        } else if (now >= earliestStartAt) {
            inFlight.isWaitingForKey = false;
            sendFirstAttempt(now, inFlight);
        } else {
            setRequestTimer(now, inFlight, Math.min(earliestStartAt, inFlight.effectiveDeadline));
        }
    }

    private void sendFirstAttempt(long now, InFlightRequest inFlight) {
        Host host = null;
        // In cache-aside mode writes go to the origin.
        if (!settings.isCacheAside() || !inFlight.request.isWrite()) {
            health.recordFirstSend(now);
            findCandidates(now, inFlight);
            // In cache-aside mode findCandidates has already weighted the zones by the origin's latency.
            host = candidates.selectLeastInFlight(now, !settings.isCacheAside());
        }
        host = host == null && settings.isCacheAside() ? leastLoadedOrigin() : host;
        if (host == null) {
            refuseOrFail(now, inFlight);
            return;
        }
        send(now, inFlight, host);
        long hedgeDelayNs = hedging.hedgeDelayNs();
        if (hedgeDelayNs >= 0 && now + hedgeDelayNs < inFlight.effectiveDeadline
                && !inFlight.request.isWrite() && !inFlight.needsOrigin) {
            inFlight.hedgeAt = now + Math.max(1, hedgeDelayNs);
        }
        inFlight.slowSignalAt = now + admission.slowThresholdNs(inFlight.requestClass);
        setRequestTimer(now, inFlight, Math.min(inFlight.hedgeAt, inFlight.slowSignalAt));
    }

    /**
     * Fills {@link #candidates} for the request. If no host admits it, tries again in panic mode, which
     * ignores circuit breakers and relaxes the limits of slow start.
     */
    private void findCandidates(long now, InFlightRequest inFlight) {
        // Requests without a key are spread over all hosts.
        long key = inFlight.request.key() != 0
                ? inFlight.request.key() : Candidates.mix64(inFlight.request.id());
        health.inPanicMode = false;
        double nearness = isOriginFast(inFlight) ? health.balancersPerHost : 1;
        candidates.rankHosts(now, key, nearness);
        if (candidates.count == 0) {
            health.inPanicMode = true;
            candidates.rankHosts(now, key, nearness);
        }
    }

    private Host leastLoadedOrigin() {
        Host best = null;
        for (Host host : health.origins) {
            if (best == null || host.inFlight < best.inFlight) {
                best = host;
            }
        }
        return best;
    }

    /** Whether the origin seems to have spare capacity; known in cache-aside mode only, otherwise false. */
    private boolean isOriginFast(InFlightRequest inFlight) {
        Host origin = settings.isCacheAside() ? leastLoadedOrigin() : null;
        return origin != null
                && origin.latencyNs < inFlight.requestClass.goalTimeNs() * FAST_ORIGIN_GOAL_FRACTION;
    }

    private void send(long now, InFlightRequest inFlight, Host host) {
        inFlight.needsOrigin |= health.isOrigin(host);
        inFlight.attempts[inFlight.sentAttempts++] = new Attempt(host, now);
        inFlight.pendingAttempts++;
        health.onAttemptSent(now, host);
        actions.send(inFlight.request.id(), host.id, inFlight.effectiveDeadline);
    }

    /** Replaces the request's timer; {@link #NEVER} leaves it without one. */
    private void setRequestTimer(long now, InFlightRequest inFlight, long at) {
        inFlight.timerAt = at;
        if (at != NEVER) {
            requestTimers.add(new RequestTimer(at, inFlight));
        }
        scheduleNextTimer(now);
    }

    /** Asks for a timer event at the earliest timer of all requests, unless one is due by then anyway. */
    private void scheduleNextTimer(long now) {
        while (!requestTimers.isEmpty() && requestTimers.peek().isStale()) {
            requestTimers.poll();
        }
        if (!requestTimers.isEmpty() && (nextTimerAt <= now || requestTimers.peek().dueAt < nextTimerAt)) {
            nextTimerAt = Math.max(now + 1, requestTimers.peek().dueAt);
            actions.scheduleTimer(nextTimerAt, REQUEST_TIMER_TOKEN);
        }
    }

    @Override
    public void onTimer(long now, int token) {
        if (token == SUBSCRIBE_TIMER_TOKEN) {
            actions.subscribe();
            return;
        }
        while (!requestTimers.isEmpty() && requestTimers.peek().dueAt <= now) {
            RequestTimer requestTimer = requestTimers.poll();
            if (!requestTimer.isStale() && requestTimer.inFlight.isWaitingForKey) {
                startOrExpire(now, requestTimer.inFlight);
            } else if (!requestTimer.isStale()) {
                onRequestTimer(now, requestTimer.inFlight);
            }
        }
        scheduleNextTimer(now);
    }

    @Override
    public String gauges() {
        return "flights " + inFlightRequests.size() + " " + admission.gauges() + " " + hedging.gauges() + " "
                + health.gauges();
    }

    /** A request is still unanswered: it is reported as slow and hedged, whichever is due. */
    private void onRequestTimer(long now, InFlightRequest inFlight) {
        if (now >= inFlight.slowSignalAt) {
            inFlight.slowSignalAt = NEVER;
            admission.onLoadSignal(now, inFlight.needsOrigin ? 0 : Admission.SLOW_ATTEMPT_SIGNAL,
                    health.cacheAttemptsInFlight);
        }
        if (now >= inFlight.hedgeAt) {
            inFlight.hedgeAt = NEVER;
            sendHedge(now, inFlight);
        }
        setRequestTimer(now, inFlight, Math.min(inFlight.hedgeAt, inFlight.slowSignalAt));
    }

    private void sendHedge(long now, InFlightRequest inFlight) {
        if (inFlight.isStreaming || inFlight.needsOrigin || inFlight.pendingAttempts != 1
                || inFlight.sentAttempts >= maxAttempts) {
            return;
        }
        findCandidates(now, inFlight);
        Host host = firstUntriedHost(now, inFlight, candidates.candidateCount);
        if (host != null && isResendSafe(now, inFlight, host)
                && !admission.isOverloaded() && mayCauseAnotherFetch(inFlight)
                && hedging.trySpendOnHedge(now)) {
            send(now, inFlight, host);
        }
    }

    /**
     * The first of the top {@code limit} candidates, in hash order, that the request was not sent to yet; a
     * suspect host only if there is no other. Null if all were tried.
     */
    private Host firstUntriedHost(long now, InFlightRequest inFlight, int limit) {
        Host suspect = null;
        for (int i = 0; i < candidates.count && i < limit; i++) {
            Host host = candidates.rankedHosts[i];
            if (Arrays.stream(inFlight.attempts, 0, inFlight.sentAttempts).noneMatch(a -> a.host == host)) {
                if (!health.isFailureOutlier(now, host)) {
                    return host;
                }
                suspect = suspect == null ? host : suspect;
            }
        }
        return suspect;
    }

    @Override
    public void onFirstByte(long now, long requestId, int attemptIndex) {
        InFlightRequest inFlight = inFlightRequests.get(requestId);
        if (inFlight != null && !inFlight.isEnded) {
            inFlight.isStreaming = true;
            cancelPending(inFlight, attemptIndex);
        }
    }

    @Override
    public void onClientGone(long now, long requestId) {
        InFlightRequest inFlight = inFlightRequests.get(requestId);
        if (inFlight != null && !inFlight.isEnded) {
            cancelPending(inFlight, -1);
            endRequest(now, inFlight);
        }
    }

    @Override
    public void onAttemptOutcome(long now, AttemptOutcome outcome) {
        InFlightRequest inFlight = inFlightRequests.get(outcome.requestId());
        if (inFlight == null || outcome.attemptIndex() >= inFlight.sentAttempts
                || !inFlight.attempts[outcome.attemptIndex()].isPending) {
            return;
        }
        Attempt attempt = inFlight.attempts[outcome.attemptIndex()];
        attempt.isPending = false;
        attempt.neverExecuted = outcome.reason().neverExecuted;
        inFlight.pendingAttempts--;
        if (inFlight.isSerialByKey() && outcome.reason().mayStillBeRunning()) {
            keyOrder.startCooldown(now, inFlight.request.key());
        }
        health.onAttemptEnd(now, attempt.host, outcome.reason(), now - attempt.sentAt);
        recordOutcome(now, inFlight, attempt, outcome.reason());
        // Many attempts at live hosts found no connection: idle connections, which fill the hosts' tables,
        // are closed.
        if (health.connectFailureRate > HostHealth.CLOSE_IDLE_CONNECT_FAILURE_RATE) {
            actions.closeIdleConnections(attempt.host.id);
        }
        if (inFlight.isEnded) {
            endRequest(now, inFlight);
        } else if (outcome.isRequestClosed()) {
            if (outcome.reason() == Reason.OK && !inFlight.request.isWrite()
                    && !health.isOrigin(attempt.host)) {
                hedging.readServed(now, now - inFlight.attempts[0].sentAt);
                admission.updateReadLatency(hedging.medianLatencyNs());
            }
            cancelPending(inFlight, outcome.attemptIndex());
            endRequest(now, inFlight);
        } else {
            retryOrFinish(now, inFlight, outcome.reason());
        }
    }

    /** Updates admission control with the end of an attempt. */
    private void recordOutcome(long now, InFlightRequest inFlight, Attempt attempt, Reason reason) {
        if (inFlight.isSerialByKey() && !reason.neverExecuted) {
            admission.recordOrderedAttempt(now - attempt.sentAt);
        }
        boolean isFast = now - attempt.sentAt < admission.slowThresholdNs(inFlight.requestClass);
        if (!health.isOrigin(attempt.host) && isFast && reason.isSuccess()) {
            admission.onLoadSignal(now, Admission.FAST_ANSWER_SIGNAL, health.cacheAttemptsInFlight);
        } else if (!health.isOrigin(attempt.host) && reason == Reason.REJECTED) {
            inFlight.rejectedByCaches++;
            if (settings.isCacheAside() || inFlight.rejectedByCaches > 1) {
                recordCachesFull(now, inFlight);
            }
        }
        if (health.isOrigin(attempt.host) && reason != Reason.CANCELLED) {
            // A late answer counts as failed: otherwise a queue at the origin that makes every fetch late
            // would not be noticed.
            admission.recordOriginResult(reason != Reason.OK
                    || now - attempt.sentAt > inFlight.requestClass.goalTimeNs());
        } else if (!settings.isCacheAside()) {
            recordOriginResult(inFlight, attempt == inFlight.attempts[0], reason);
        }
    }

    /**
     * Infers how the origin behind read-through caches is doing. An error of the first attempt may be the
     * cache's own; an error at another cache as well points to the origin.
     */
    private void recordOriginResult(InFlightRequest inFlight, boolean isFirstAttempt, Reason reason) {
        if (reason == Reason.ERROR && !isFirstAttempt) {
            admission.recordOriginResult(true);
        } else if (reason == Reason.OK && (inFlight.request.isWrite() || !isFirstAttempt)) {
            admission.recordOriginResult(false);
        } else if (reason == Reason.OK) {
            admission.recordCacheRead();
        }
    }

    /** Tells admission control that caches rejected the request. */
    private void recordCachesFull(long now, InFlightRequest inFlight) {
        // A rejection while the origin is fast points to a hot key rather than to an overloaded fleet: it
        // counts as the weaker signal.
        double signal = isOriginFast(inFlight) ? Admission.SLOW_ATTEMPT_SIGNAL : Admission.REJECTION_SIGNAL;
        admission.onLoadSignal(now, signal, health.cacheAttemptsInFlight);
    }

    /** After an attempt that gave no answer: waits for pending ones, retries, or sends the final answer. */
    private void retryOrFinish(long now, InFlightRequest inFlight, Reason reason) {
        inFlight.needsOrigin |= reason == Reason.MISS;
        if (inFlight.pendingAttempts > 0) {
            return;
        }
        if (now < inFlight.effectiveDeadline && inFlight.sentAttempts < maxAttempts) {
            Host host = nextHost(now, inFlight, reason);
            if (host != null && isResendSafe(now, inFlight, host)
                    && (reason == Reason.MISS || mayRetry(now, inFlight, reason))) {
                send(now, inFlight, host);
                return;
            }
        }
        if (inFlight.rejectedByCaches == 1 && reason == Reason.REJECTED && !settings.isCacheAside()) {
            // A single rejection counts only if no other cache is tried, as here: one full cache does not
            // mean a full fleet.
            recordCachesFull(now, inFlight);
        }
        refuseOrFail(now, inFlight);
    }

    /**
     * Whether the retry budget and the origin allow a retry. An attempt that never left this machine
     * ({@link Reason#MOOT}) is always retried, as another host may have an idle connection. The first retry
     * after an attempt that was never executed, and so cost no host any work, may be free of charge; not so
     * in cache-aside mode or while the hosts look overloaded.
     */
    private boolean mayRetry(long now, InFlightRequest inFlight, Reason reason) {
        if (reason == Reason.MOOT) {
            return true;
        }
        if (reason == Reason.ERROR && !mayCauseAnotherFetch(inFlight)) {
            return false;
        }
        boolean isEveryRetryCharged = settings.isCacheAside() || admission.isOverloaded();
        return hedging.trySpendOnRetry(now,
                reason.neverExecuted && inFlight.sentAttempts == 1 && !isEveryRetryCharged);
    }

    /**
     * Whether a further attempt may make another read-through cache fetch from the origin as well. Without
     * this limit, retries and hedges of what only the origin can serve would keep it from recovering.
     */
    private boolean mayCauseAnotherFetch(InFlightRequest inFlight) {
        return settings.isCacheAside()
                || admission.admitsOriginWork(inFlight.request.isWrite(), health.nextRandom());
    }

    /** The host for a retry, or null if there is none. */
    private Host nextHost(long now, InFlightRequest inFlight, Reason reason) {
        // A rejection while the origin is fast is retried at the origin: otherwise the few, full hosts of a
        // hot key would be tried one after the other.
        boolean isHotKeyRejection = reason == Reason.REJECTED && isOriginFast(inFlight);
        if (settings.isCacheAside()
                && (inFlight.needsOrigin || inFlight.request.isWrite() || isHotKeyRejection)) {
            return inFlight.request.isWrite() || admission.admitsOriginWork(false, health.nextRandom())
                    ? leastLoadedOrigin() : null;
        }
        findCandidates(now, inFlight);
        Host host = firstUntriedHost(now, inFlight, candidates.count);
        return host == null && settings.isCacheAside() ? leastLoadedOrigin() : host;
    }

    /**
     * Whether a further attempt at {@code host} cannot cause a second effect: no attempt can have been
     * executed yet, the request is idempotent, or the host deduplicates it. If hedging is not allowed, also
     * no attempt may be pending.
     */
    private boolean isResendSafe(long now, InFlightRequest inFlight, Host host) {
        if (inFlight.pendingAttempts > 0 && !settings.mayHedge()) {
            return false;
        }
        RequestClass requestClass = inFlight.requestClass;
        Attempt first = inFlight.firstPossiblyExecutedAttempt();
        return first == null || requestClass.effect() == Effect.IDEMPOTENT
                || requestClass.effect() == Effect.DEDUPLICATED
                && now - first.sentAt <= requestClass.dedupWindowNs() * DEDUP_WINDOW_FRACTION
                && (requestClass.dedupScope() != Group.ZONE || first.host.zone == host.zone)
                && (requestClass.dedupScope() != Group.CELL || first.host.cell == host.cell);
    }

    /** Whether the request may be refused: a refusal promises the client that its retry is harmless. */
    private static boolean isRefusalSafe(InFlightRequest inFlight) {
        RequestClass requestClass = inFlight.requestClass;
        return requestClass.effect() == Effect.IDEMPOTENT
                || requestClass.effect() == Effect.DEDUPLICATED && requestClass.dedupScope() == Group.ALL
                || inFlight.firstPossiblyExecutedAttempt() == null;
    }

    /** Sends the final answer of a request that could not be served: a refusal if that is safe. */
    private void refuseOrFail(long now, InFlightRequest inFlight) {
        if (isRefusalSafe(inFlight)) {
            actions.refuse(inFlight.request.id(),
                    now >= inFlight.effectiveDeadline ? settings.maxRetryAfterNs() : 0);
        } else {
            actions.fail(inFlight.request.id());
        }
        cancelPending(inFlight, -1);
        endRequest(now, inFlight);
    }

    /** Cancels all pending attempts but {@code exceptIndex}, if attempts may be cancelled at all; -1: all. */
    private void cancelPending(InFlightRequest inFlight, int exceptIndex) {
        for (int i = 0; i < inFlight.sentAttempts && settings.mayCancel(); i++) {
            if (inFlight.attempts[i].isPending && i != exceptIndex) {
                actions.cancel(inFlight.request.id(), i);
            }
        }
    }

    /**
     * Marks a request as ended, forgets it once it has no pending attempt, and then starts the request that
     * waited for its key.
     */
    private void endRequest(long now, InFlightRequest inFlight) {
        inFlight.isEnded = true;
        if (inFlight.pendingAttempts > 0) {
            return;
        }
        inFlightRequests.remove(inFlight.request.id());
        InFlightRequest nextForKey =
                inFlight.isSerialByKey() ? keyOrder.remove(inFlight.request.key(), inFlight) : null;
        if (nextForKey == null || !nextForKey.isWaitingForKey) {
            return;
        }
        // A loop, not recursion: a started request may end at once and unblock the next one, and a long queue
        // of those would overflow the stack.
        unblockedRequests.add(nextForKey);
        if (isStartingUnblocked) {
            return;
        }
        isStartingUnblocked = true;
        try {
            for (InFlightRequest unblocked = unblockedRequests.poll(); unblocked != null;
                    unblocked = unblockedRequests.poll()) {
                startOrExpire(now, unblocked);
            }
        } finally {
            isStartingUnblocked = false;
        }
    }
}
