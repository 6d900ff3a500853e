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
 * <p>What holds for every request: it gets exactly one final reply unless its client disconnects first; a
 * further attempt is sent only if it cannot cause a second effect ({@link #isResendSafe}); it is refused only
 * if a retry by the client is safe ({@link #isRefusalSafe}); requests with the same key run one at a time if
 * their class asks for it ({@link KeyOrder}); hedges and retries are limited by a budget ({@link Hedging}).
 */
public final class Router implements Api.Events {
    /** Upper limit of attempts per request, the first one included, whatever the settings allow. */
    private static final int MAX_ATTEMPTS = 6;
    /** An instant that is never reached. */
    private static final long NEVER = Long.MAX_VALUE;
    /** Timers of ended requests that are kept, beside as many as there are requests in flight. */
    private static final int MAX_EXTRA_TIMERS = 256;
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
     * Longest wait for the next call to discovery after a failed one. An instance is expected to know of
     * changes 6 s after discovery has become reachable again: a third of that each is for this wait, for a
     * wait in discovery's queue that ends with a refusal, and for the call after that.
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
        /** Whether it is known not to have been executed; false while the attempt is pending. */
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
        /**
         * When a reply loses its value: at the goal time if late replies have none and the class is not
         * streamed, else at the deadline.
         */
        final long effectiveDeadline;
        final Attempt[] attempts;
        /** Attempts sent so far: the first elements of {@link #attempts}. */
        int sentAttempts;
        /** Sent attempts whose outcome has not been reported. */
        int pendingAttempts;
        /** Attempts that ended because a cache was too busy. */
        int cacheRejections;
        /** Whether it has had its final reply, or its client is gone; attempts may still be pending. */
        boolean isEnded;
        /** Whether it missed at a cache or was sent to the origin: then it is not hedged. */
        boolean needsOrigin;
        /** Whether the first byte of a streamed response has arrived. */
        boolean isStreaming;
        /** Whether its first attempt waits for earlier requests with its key, or for the key's cooldown. */
        boolean isWaitingForKey;
        /** When its hedge is due. */
        long hedgeAt = NEVER;
        /** When the request, if it still has no reply, is reported to admission control as slow. */
        long slowSignalAt = NEVER;
        /**
         * When its timer is due: at the earlier of {@link #hedgeAt} and {@link #slowSignalAt}, or, while it
         * waits for its key, at the end of the key's cooldown or at the effective deadline.
         */
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

        /** The earliest attempt that may have been executed or still be executed, or null. */
        Attempt firstPossiblyExecutedAttempt() {
            return Arrays.stream(attempts, 0, sentAttempts).filter(a -> !a.neverExecuted).findFirst()
                    .orElse(null);
        }

        /** Whether it must not run at the same time as another request with its key. */
        boolean isSerialByKey() {
            return requestClass.isSerialByKey() && request.key() != 0;
        }
    }

    /** A timer of a request; stale once the request has ended or has another due time. */
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
                    .thenComparingLong(timer -> timer.inFlight.request.id()));
    /** Requests that waited for their key and are its first one, now that another one has ended. */
    private final Deque<InFlightRequest> unblockedRequests = new ArrayDeque<>();
    /** Whether {@link #endRequest} is emptying {@link #unblockedRequests} further up the call stack. */
    private boolean isStartingUnblocked;
    private final int maxAttempts;
    /** The due time of the last timer with {@link #REQUEST_TIMER_TOKEN} asked of {@link #actions}. */
    private long nextTimerAt;
    /**
     * This instance's position in the period over which all instances spread their subscriptions, in [0, 1):
     * each rank has a slot of the period, and the position within the slot is random.
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
     * is due at the instance's fixed phase of a period on the clock that all instances share, so that the
     * calls stay spread however often and whenever they fail.
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
        // A request that is expected to wait past its effective deadline is refused at once: otherwise the
        // queue of a key could grow without bound.
        inFlight.isWaitingForKey = true;
        if (now + keyOrder.enqueue(now, request.key(), inFlight) * admission.meanSerialAttemptNs
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
     * Ranks the hosts for the request in {@link #candidates}. If none is eligible, does so again in panic
     * mode, which ignores circuit breakers and relaxes the limits of slow start.
     */
    private void findCandidates(long now, InFlightRequest inFlight) {
        // Requests without a key are spread over all hosts.
        long key = inFlight.request.key() != 0
                ? inFlight.request.key() : Candidates.mix64(inFlight.request.id());
        health.isInPanicMode = false;
        double ownZoneFactor = isOriginFast(inFlight) ? health.balancersPerHost : 1;
        candidates.rankHosts(now, key, ownZoneFactor);
        if (candidates.count == 0) {
            health.isInPanicMode = true;
            candidates.rankHosts(now, key, ownZoneFactor);
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
    private void setRequestTimer(long now, InFlightRequest inFlight, long dueAt) {
        inFlight.timerAt = dueAt;
        if (dueAt != NEVER) {
            requestTimers.add(new RequestTimer(dueAt, inFlight));
            removeStaleTimers();
        }
        scheduleNextTimer(now);
    }

    /** Removes the timers of requests that have ended, once they are the most. */
    private void removeStaleTimers() {
        if (requestTimers.size() > 2 * inFlightRequests.size() + MAX_EXTRA_TIMERS) {
            requestTimers.removeIf(RequestTimer::isStale);
        }
    }

    /** Returns the number of timers held, those of ended requests included. */
    int timerCount() {
        return requestTimers.size();
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
            RequestTimer timer = requestTimers.poll();
            if (!timer.isStale() && timer.inFlight.isWaitingForKey) {
                startOrExpire(now, timer.inFlight);
            } else if (!timer.isStale()) {
                onRequestTimer(now, timer.inFlight);
            }
        }
        scheduleNextTimer(now);
    }

    @Override
    public String gauges() {
        return "flights " + inFlightRequests.size() + " " + admission.gauges() + " " + hedging.gauges() + " "
                + health.gauges();
    }

    /** Handles that a request still has no reply: reports it as slow, hedges it, or both, as due. */
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
     * The first of the top {@code limit} ranked hosts that the request was not sent to yet; a failure outlier
     * only if there is no other. Null if all were tried.
     */
    private Host firstUntriedHost(long now, InFlightRequest inFlight, int limit) {
        Host outlier = null;
        for (int i = 0; i < candidates.count && i < limit; i++) {
            Host host = candidates.rankedHosts[i];
            if (Arrays.stream(inFlight.attempts, 0, inFlight.sentAttempts).noneMatch(a -> a.host == host)) {
                if (!health.isFailureOutlier(now, host)) {
                    return host;
                }
                outlier = outlier == null ? host : outlier;
            }
        }
        return outlier;
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
        // Many attempts at live hosts got no connection: idle connections, which fill the hosts' connection
        // tables, are closed.
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
            admission.recordSerialAttempt(now - attempt.sentAt);
        }
        boolean isFast = now - attempt.sentAt < admission.slowThresholdNs(inFlight.requestClass);
        if (!health.isOrigin(attempt.host) && isFast && reason.isSuccess()) {
            admission.onLoadSignal(now, Admission.FAST_RESPONSE_SIGNAL, health.cacheAttemptsInFlight);
        } else if (!health.isOrigin(attempt.host) && reason == Reason.REJECTED) {
            inFlight.cacheRejections++;
            if (settings.isCacheAside() || inFlight.cacheRejections > 1) {
                recordCacheRejection(now, inFlight);
            }
        }
        if (health.isOrigin(attempt.host) && reason != Reason.CANCELLED) {
            // A late response counts as failed: otherwise a queue at the origin that makes every fetch late
            // would not be noticed.
            admission.recordOriginResult(reason != Reason.OK
                    || now - attempt.sentAt > inFlight.requestClass.goalTimeNs());
        } else if (!settings.isCacheAside()) {
            recordOriginResult(inFlight, attempt == inFlight.attempts[0], reason);
        }
    }

    /**
     * Infers from an attempt at a read-through cache whether the origin behind it works. An error of the
     * first attempt may be the cache's own; an error of a further attempt, at another cache, points to the
     * origin.
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

    /** Reports to admission control that caches rejected the request. */
    private void recordCacheRejection(long now, InFlightRequest inFlight) {
        // A rejection while the origin is fast points to a hot key rather than to an overloaded fleet: it
        // counts as the weaker signal.
        double signal = isOriginFast(inFlight) ? Admission.SLOW_ATTEMPT_SIGNAL : Admission.REJECTION_SIGNAL;
        admission.onLoadSignal(now, signal, health.cacheAttemptsInFlight);
    }

    /**
     * Handles the end of an attempt that did not serve the request: waits for pending attempts, retries, or
     * sends the final reply.
     */
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
        if (inFlight.cacheRejections == 1 && reason == Reason.REJECTED && !settings.isCacheAside()) {
            // A single rejection counts only if no other cache is tried, as here: one full cache does not
            // mean a full fleet.
            recordCacheRejection(now, inFlight);
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

    /** The host for a retry, or null if there is none or the origin admits no more work. */
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

    /** Sends the final reply to a request that could not be served: a refusal if that is safe. */
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

    /**
     * Cancels the pending attempts of a request, if the settings allow it.
     *
     * @param exceptIndex the index of an attempt that is kept, -1 for none
     */
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
