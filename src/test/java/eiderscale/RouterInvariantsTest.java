package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.Reason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random event sequences. After each event the test checks the router's actions against a model of its own:
 * <ul>
 *   <li>each request gets exactly one final answer, in time, unless its client disconnects first;
 *   <li>attempts go to ready servers only, within the request's deadline and the limit of attempts, and one at a time
 *       if hedging is not allowed;
 *   <li>requests are sent again, or refused, only if that cannot cause a second effect;
 *   <li>cold hosts get a small part of the attempts;
 *   <li>requests with the same key run one at a time in arrival order, if their class is serial by key;
 *   <li>hedges and retries stay within the retry budget.
 * </ul>
 */
class RouterInvariantsTest {
    /** How attempts end at random; a reason listed more than once is that much more likely. */
    private static final Reason[] ATTEMPT_REASONS = {Reason.ERROR, Reason.REJECTED, Reason.TIMEOUT,
        Reason.CONNECT_FAILED, Reason.RESET, Reason.MISS, Reason.OK, Reason.OK, Reason.OK};

    /** What the test's model knows of a request. */
    private static final class TrackedRequest {
        final int classIndex;
        final long key;
        final long deadline;
        int sentAttempts;
        /** Misses for which no further attempt was sent yet; an attempt after a miss is free of the budget. */
        int unusedMisses;
        /** Indexes of the attempts that have not ended. */
        final List<Integer> pendingAttempts = new ArrayList<>();
        /** Has had its final answer, or its client has disconnected. */
        boolean isEnded;
        /** An attempt that has ended may have been executed. */
        boolean mayHaveRun;
        /** When the first attempt that may have been executed was sent, in nanoseconds; -1 if there is none. */
        long firstMayHaveRunAt = -1;

        TrackedRequest(int classIndex, long key, long deadline) {
            this.classIndex = classIndex;
            this.key = key;
            this.deadline = deadline;
        }
    }

    private final Map<Long, TrackedRequest> requestsById = new HashMap<>();
    /** For each key the deduplicated writes that have not ended or have pending attempts, oldest first. */
    private final Map<Long, List<Long>> queuesByKey = new HashMap<>();
    /** When the cooldown of each key ends, in nanoseconds. */
    private final Map<Long, Long> cooldownEndsByKey = new HashMap<>();
    /** When the requests were received, in nanoseconds. */
    private final List<Long> requestTimes = new ArrayList<>();
    /** When the attempts that the retry budget covers were sent, in nanoseconds. */
    private final List<Long> chargedAttemptTimes = new ArrayList<>();
    private final Set<Long> readyServerIds = new HashSet<>();
    private final Set<Long> coldServerIds = new HashSet<>();
    /** How many of the recorded actions of each kind have been checked. */
    private int checkedSends;
    private int checkedRefusals;
    private int checkedFailures;
    private int sendsToColdHosts;
    private int totalSends;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void invariantsHoldForRandomEvents(long seed) {
        Random random = new Random(seed);
        RouterHarness.SettingsBuilder builder = new RouterHarness.SettingsBuilder();
        builder.isCacheAside = seed % 2 == 0;
        builder.mayHedge = seed % 3 != 0;
        builder.lateValue = seed % 4 == 0 ? 0.5 : 0;
        builder.isSerialByKey = seed % 5 != 0;
        builder.retryBudget = seed % 3 != 1 ? new Api.RetryBudget(2, 0.1, 500 * RouterHarness.MS) : null;
        RouterHarness harness = new RouterHarness(builder, seed);
        applyRandomFullList(harness, random);
        for (long id = 1; id <= 3000; id++) {
            harness.advanceMs(random.nextInt(4));
            int classIndex = random.nextInt(10) < 8 ? RouterHarness.READ : 1 + random.nextInt(2);
            long deadline = harness.now + (500 + random.nextInt(1500)) * RouterHarness.MS;
            long key = 1 + random.nextInt(classIndex == RouterHarness.DEDUPLICATED_WRITE ? 8 : 200);
            requestsById.put(id, new TrackedRequest(classIndex, key, deadline));
            requestTimes.add(harness.now);
            if (classIndex == RouterHarness.DEDUPLICATED_WRITE) {
                queuesByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
            }
            harness.router.onRequest(harness.now, new Api.Request(id, classIndex, 0, key,
                    deadline, 0, false, classIndex != RouterHarness.READ));
            checkNewActions(harness);
            endSomeAttempts(harness, random);
            if (random.nextInt(100) == 0) {
                applyRandomFullList(harness, random);
            }
        }
        runUntilAllRequestsEnd(harness);
        for (Map.Entry<Long, TrackedRequest> remaining : requestsById.entrySet()) {
            assertTrue(remaining.getValue().isEnded, "request without a final answer: " + remaining.getKey());
        }
        assertTrue(sendsToColdHosts <= totalSends / 4 + 4,
                "attempts at cold hosts: " + sendsToColdHosts + " of " + totalSends);
    }

    /** Delivers a new full list in which some hosts drain, some are missing and some have just started. */
    private void applyRandomFullList(RouterHarness harness, Random random) {
        List<Api.Server> list = new ArrayList<>();
        readyServerIds.clear();
        for (long id = 1; id <= 10; id++) {
            int draw = random.nextInt(10);
            if (draw == 0) {
                list.add(RouterHarness.server(id, Api.State.DRAINING, 0));
            } else if (draw > 1) {
                boolean isCold = draw == 2;
                list.add(RouterHarness.server(id, Api.State.READY, isCold ? harness.now : 0));
                readyServerIds.add(id);
                if (isCold) {
                    coldServerIds.add(id);
                } else {
                    coldServerIds.remove(id);
                }
            }
        }
        if (harness.settings.isCacheAside()) {
            list.add(RouterHarness.origin(99));
            readyServerIds.add(99L);
        }
        harness.applyFullList(list);
    }

    /**
     * Times out the attempts of all requests past their deadline. With a source of random numbers, also ends some other
     * attempts and disconnects some clients.
     */
    private void endSomeAttempts(RouterHarness harness, Random random) {
        for (long id : new ArrayList<>(requestsById.keySet())) {
            TrackedRequest request = requestsById.get(id);
            if (harness.now >= request.deadline) {
                while (!request.pendingAttempts.isEmpty()) {
                    endAttempt(harness, id, request.pendingAttempts.get(0), Reason.TIMEOUT);
                }
            } else if (random != null && !request.pendingAttempts.isEmpty() && random.nextInt(12) == 0) {
                int attemptIndex = request.pendingAttempts.get(random.nextInt(request.pendingAttempts.size()));
                endAttempt(harness, id, attemptIndex, request.isEnded ? Reason.CANCELLED
                        : ATTEMPT_REASONS[random.nextInt(ATTEMPT_REASONS.length)]);
            } else if (random != null && !request.isEnded && random.nextInt(400) == 0) {
                request.isEnded = true;
                removeFromQueueIfOver(id, request);
                harness.router.onClientGone(harness.now, id);
                checkNewActions(harness);
            }
            if (request.isEnded && request.pendingAttempts.isEmpty()) {
                requestsById.remove(id);
            }
        }
    }

    /** Lets 4 s pass without new requests; the longest deadline is 2 s after a request's arrival. */
    private void runUntilAllRequestsEnd(RouterHarness harness) {
        for (int i = 0; i < 400; i++) {
            harness.advanceMs(10);
            checkNewActions(harness);
            endSomeAttempts(harness, null);
        }
    }

    /** Updates the model with the end of an attempt, then delivers it to the router. */
    private void endAttempt(RouterHarness harness, long id, int attemptIndex, Reason reason) {
        TrackedRequest request = requestsById.get(id);
        request.pendingAttempts.remove((Integer) attemptIndex);
        request.unusedMisses += reason == Reason.MISS ? 1 : 0;
        if (reason.mayStillBeRunning() && request.classIndex == RouterHarness.DEDUPLICATED_WRITE) {
            cooldownEndsByKey.put(request.key, harness.now + harness.settings.keyCooldownNs());
        }
        boolean isFinalAnswer = !request.isEnded && reason == Reason.OK;
        request.isEnded |= isFinalAnswer;
        request.mayHaveRun |= !reason.neverExecuted;
        removeFromQueueIfOver(id, request);
        if (request.pendingAttempts.isEmpty() && !request.mayHaveRun) {
            request.firstMayHaveRunAt = -1;
        }
        harness.router.onAttemptOutcome(harness.now,
                new Api.AttemptOutcome(id, attemptIndex, reason, 0, request.isEnded, new float[0]));
        checkNewActions(harness);
    }

    /** Removes a request from its key's queue if it has ended and has no pending attempt. */
    private void removeFromQueueIfOver(long id, TrackedRequest request) {
        if (request.classIndex == RouterHarness.DEDUPLICATED_WRITE && request.isEnded
                && request.pendingAttempts.isEmpty()) {
            queuesByKey.get(request.key).remove(id);
        }
    }

    /**
     * Checks an attempt for the order of requests with the same key, the cooldown of that key, and the retry budget
     * within its sliding window.
     */
    private void checkKeyOrderAndRetryBudget(RouterHarness harness, RouterHarness.SentAttempt sent,
                                             TrackedRequest request) {
        if (harness.settings.requestClasses().get(request.classIndex).isSerialByKey()) {
            assertEquals(sent.requestId(), queuesByKey.get(request.key).get(0),
                    "an earlier request with the same key has not ended: " + sent);
            boolean isCooldownOver = sent.sentAt() >= cooldownEndsByKey.getOrDefault(request.key, 0L);
            assertTrue(isCooldownOver || sent.attemptIndex() > 0, "sent during the cooldown of its key: " + sent);
        }
        Api.RetryBudget budget = harness.settings.retryBudget();
        if (request.sentAttempts++ == 0 || budget == null) {
            return;
        }
        if (request.unusedMisses > 0) {
            request.unusedMisses--;
        } else {
            chargedAttemptTimes.add(sent.sentAt());
            long windowStart = sent.sentAt() - budget.windowNs();
            double allowed = budget.minRetries()
                    + budget.retryRatio() * requestTimes.stream().filter(t -> t > windowStart).count();
            long made = chargedAttemptTimes.stream().filter(t -> t >= windowStart).count();
            assertTrue(made <= allowed, "over the retry budget: " + sent + ", attempts " + made + " of " + allowed);
        }
    }

    /** Checks all actions since the last call. */
    private void checkNewActions(RouterHarness harness) {
        for (; checkedRefusals < harness.refusals.size(); checkedRefusals++) {
            TrackedRequest request = requestsById.get(harness.refusals.get(checkedRefusals).requestId());
            assertTrue(request.classIndex != RouterHarness.NON_IDEMPOTENT_WRITE || request.firstMayHaveRunAt < 0,
                    "refused a non-idempotent request that may have run");
            recordFinalAnswer(harness, request);
            removeFromQueueIfOver(harness.refusals.get(checkedRefusals).requestId(), request);
        }
        for (; checkedFailures < harness.failedRequestIds.size(); checkedFailures++) {
            recordFinalAnswer(harness, requestsById.get(harness.failedRequestIds.get(checkedFailures)));
            removeFromQueueIfOver(harness.failedRequestIds.get(checkedFailures),
                    requestsById.get(harness.failedRequestIds.get(checkedFailures)));
        }
        for (; checkedSends < harness.sentAttempts.size(); checkedSends++) {
            RouterHarness.SentAttempt sent = harness.sentAttempts.get(checkedSends);
            TrackedRequest request = requestsById.get(sent.requestId());
            assertTrue(request != null && !request.isEnded, "sent after the request has ended: " + sent);
            assertTrue(readyServerIds.contains(sent.serverId()), "sent to a host that is draining or gone: " + sent);
            assertTrue(harness.settings.mayHedge() || request.pendingAttempts.isEmpty(),
                    "second pending attempt although hedging is not allowed: " + sent);
            assertTrue(sent.attemptDeadline() <= request.deadline,
                    "attempt may run past the request's deadline: " + sent);
            assertTrue(sent.attemptIndex() < harness.settings.maxAttempts(), "too many attempts: " + sent);
            if (request.firstMayHaveRunAt >= 0 && request.classIndex != RouterHarness.READ) {
                assertFalse(request.classIndex == RouterHarness.NON_IDEMPOTENT_WRITE,
                        "non-idempotent request sent again after it may have run: " + sent);
                assertTrue(harness.now - request.firstMayHaveRunAt <= 500 * RouterHarness.MS,
                        "sent again after the deduplication window: " + sent);
            }
            request.firstMayHaveRunAt = request.firstMayHaveRunAt < 0 ? harness.now : request.firstMayHaveRunAt;
            checkKeyOrderAndRetryBudget(harness, sent, request);
            request.pendingAttempts.add(sent.attemptIndex());
            totalSends++;
            sendsToColdHosts += coldServerIds.contains(sent.serverId()) ? 1 : 0;
        }
    }

    private static void recordFinalAnswer(RouterHarness harness, TrackedRequest request) {
        assertFalse(request.isEnded, "second final answer");
        assertTrue(harness.now <= request.deadline + 20 * RouterHarness.MS, "final answer after the deadline");
        request.isEnded = true;
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void equalEventsAndSeedGiveEqualActions(long seed) {
        assertEquals(sentInRandomRun(seed).toString(), sentInRandomRun(seed).toString());
    }

    /** The attempts sent in a run whose events are drawn from the seed. */
    private static List<RouterHarness.SentAttempt> sentInRandomRun(long seed) {
        RouterHarness harness = new RouterHarness(new RouterHarness.SettingsBuilder(), seed).withServers(12);
        Random random = new Random(seed);
        for (int id = 0; id < 2000; id++) {
            harness.submitRequest(id, random.nextInt(3), random.nextInt(100));
            harness.advanceMs(random.nextInt(5));
            harness.endAttempt(random.nextInt(id + 1), random.nextInt(2),
                    ATTEMPT_REASONS[random.nextInt(ATTEMPT_REASONS.length)]);
        }
        return harness.sentAttempts;
    }
}
