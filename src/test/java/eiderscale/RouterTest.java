package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.Reason;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the decisions of the {@link Router} one at a time, with default settings unless a test changes them. */
class RouterTest {
    private static RouterHarness harness() {
        return new RouterHarness(new RouterHarness.SettingsBuilder());
    }

    @Test
    void embeddingExampleSendsToOneOfItsServers() {
        assertTrue(List.of(1L, 2L).contains(EmbeddingExample.sendOneRead()));
    }

    @Test
    void keyStaysOnItsHostAndMovesToTheOtherCandidateWhileThatIsBusy() {
        RouterHarness harness = harness().withServers(8);
        long firstHostId = harness.submitRequest(1, RouterHarness.READ, 5).serverId();
        harness.endAttempt(1, 0, Reason.OK);
        assertEquals(firstHostId, harness.submitRequest(2, RouterHarness.READ, 5).serverId());
        long secondHostId = harness.submitRequest(3, RouterHarness.READ, 5).serverId();
        assertNotEquals(firstHostId, secondHostId);
        harness.endAttempt(3, 0, Reason.OK);
        assertEquals(secondHostId, harness.submitRequest(4, RouterHarness.READ, 5).serverId());
    }

    @Test
    void noHedgeWithoutLatencySamples() {
        RouterHarness harness = harness().withServers(4);
        harness.submitRequest(1, RouterHarness.READ, 5);
        harness.advanceMs(900);
        assertEquals(1, harness.sentAttempts.size());
    }

    @Test
    void noHedgeWithTooFewLatencySamples() {
        RouterHarness harness = harness().withServers(4);
        harness.fillLatencyDigest(20);
        harness.submitRequest(1, RouterHarness.READ, 5);
        harness.advanceMs(900);
        assertEquals(1, harness.sentAttempts.size());
    }

    @Test
    void slowReadIsHedgedOnceAndTheSlowerAttemptIsCancelled() {
        RouterHarness harness = harness().withServers(4);
        harness.fillLatencyDigest(40);
        long firstHostId = harness.submitRequest(1, RouterHarness.READ, 5).serverId();
        harness.advanceMs(900);
        assertEquals(2, harness.sentAttempts.size());
        assertNotEquals(firstHostId, harness.sentAttempts.get(1).serverId());
        harness.endAttempt(1, 1, Reason.OK);
        assertEquals(List.of("1/0"), harness.cancelledAttempts);
        assertNull(harness.endAttempt(1, 0, Reason.CANCELLED));
    }

    @Test
    void writesAreNotHedged() {
        RouterHarness harness = harness().withServers(4);
        harness.fillLatencyDigest(40);
        harness.submitRequest(1, RouterHarness.DEDUPLICATED_WRITE, 5);
        harness.submitRequest(2, RouterHarness.NON_IDEMPOTENT_WRITE, 6);
        harness.advanceMs(900);
        assertEquals(2, harness.sentAttempts.size());
    }

    /** Happens when this machine has no socket left for a connection to one host, but an idle one to another. */
    @Test
    void attemptsThatNeverLeftThisMachineAreRetriedWithoutBudget() {
        RouterHarness harness = harness().withServers(4);
        for (int i = 0; i < 50; i++) {
            Set<Long> tried = new HashSet<>();
            tried.add(harness.submitRequest(i, i % 2 == 0 ? RouterHarness.READ : RouterHarness.NON_IDEMPOTENT_WRITE, 5)
                    .serverId());
            tried.add(harness.endAttempt(i, 0, Reason.MOOT).serverId());
            tried.add(harness.endAttempt(i, 1, Reason.MOOT).serverId());
            assertEquals(3, tried.size());
            harness.endAttempt(i, 2, Reason.OK);
        }
        assertEquals(List.of(), harness.failedRequestIds);
    }

    @Test
    void requestThatCannotLeaveThisMachineIsRefusedAtOnce() {
        RouterHarness harness = harness().withServers(2);
        harness.submitRequest(1, RouterHarness.NON_IDEMPOTENT_WRITE, 5);
        assertNotNull(harness.endAttempt(1, 0, Reason.MOOT));
        assertNull(harness.endAttempt(1, 1, Reason.MOOT));
        assertTrue(harness.isRefused(1));
    }

    /** Guards against a hedge for every read when all caches slow down at once. */
    @Test
    void hedgesStayWithinTheirBudget() {
        RouterHarness harness = harness().withServers(8);
        harness.fillLatencyDigest(40);
        for (int i = 0; i < 100; i++) {
            harness.submitRequest(i, RouterHarness.READ, i);
        }
        harness.advanceMs(500);
        int hedges = harness.sentAttempts.size() - 100;
        assertTrue(hedges > 0 && hedges <= 10 + 0.2 * 140, "hedges: " + hedges);
    }

    /** The writes of cache-aside mode go to the origin at once; neither they nor fetches after a miss are hedged. */
    @Test
    void missesAndWritesGoToTheOriginAndAreNotHedged() {
        RouterHarness harness = RouterHarness.cacheAside(4);
        assertNotEquals(99, harness.submitRequest(1, RouterHarness.READ, 5).serverId());
        assertEquals(99, harness.endAttempt(1, 0, Reason.MISS).serverId());
        assertEquals(99, harness.submitRequest(2, RouterHarness.DEDUPLICATED_WRITE, 5).serverId());
        harness.advanceMs(900);
        assertEquals(3, harness.sentAttempts.size());
    }

    @Test
    void nonIdempotentRequestIsNotRetriedOrRefusedOnceItMayHaveRun() {
        RouterHarness harness = harness().withServers(4);
        harness.submitRequest(1, RouterHarness.NON_IDEMPOTENT_WRITE, 5);
        assertNull(harness.endAttempt(1, 0, Reason.RESET));
        assertEquals(List.of(1L), harness.failedRequestIds);
        harness.submitRequest(2, RouterHarness.NON_IDEMPOTENT_WRITE, 5);
        assertNotNull(harness.endAttempt(2, 0, Reason.REJECTED));
        assertNull(harness.endAttempt(2, 1, Reason.TIMEOUT));
        assertEquals(List.of(1L, 2L), harness.failedRequestIds);
        assertTrue(harness.refusals.isEmpty());
    }

    @Test
    void deduplicatedRequestIsRetriedOnlyWithinTheDedupWindow() {
        RouterHarness harness = harness().withServers(4);
        harness.submitRequest(1, RouterHarness.DEDUPLICATED_WRITE, 5);
        harness.advanceMs(100);
        assertNotNull(harness.endAttempt(1, 0, Reason.RESET));
        harness.advanceMs(500);
        assertNull(harness.endAttempt(1, 1, Reason.RESET));
        assertTrue(harness.isRefused(1));
    }

    /** The two servers are in different cells, so that neither drops a repeat of what the other has executed. */
    @Test
    void deduplicatedRequestIsRetriedOnlyWithinTheDedupScope() {
        RouterHarness.SettingsBuilder builder = new RouterHarness.SettingsBuilder();
        builder.dedupScope = Api.Group.CELL;
        RouterHarness harness = new RouterHarness(builder);
        harness.applyFullList(List.of(new Api.Server(1, 0, 0, 1, Api.State.READY, 1, 0),
                new Api.Server(2, 0, 0, 2, Api.State.READY, 1, 0)));
        harness.submitRequest(1, RouterHarness.DEDUPLICATED_WRITE, 5);
        assertNull(harness.endAttempt(1, 0, Reason.RESET));
        assertEquals(List.of(1L), harness.failedRequestIds);
    }

    @Test
    void noHedgeWhereHedgingIsNotAllowed() {
        RouterHarness.SettingsBuilder builder = new RouterHarness.SettingsBuilder();
        builder.mayHedge = false;
        RouterHarness harness = new RouterHarness(builder).withServers(4);
        harness.fillLatencyDigest(40);
        harness.submitRequest(1, RouterHarness.READ, 5);
        harness.advanceMs(900);
        assertEquals(1, harness.sentAttempts.size());
    }

    @Test
    void attemptsAreLimitedToMaxAttempts() {
        RouterHarness.SettingsBuilder builder = new RouterHarness.SettingsBuilder();
        builder.maxAttempts = 2;
        RouterHarness harness = new RouterHarness(builder).withServers(6);
        harness.submitRequest(1, RouterHarness.READ, 5);
        assertNotNull(harness.endAttempt(1, 0, Reason.CONNECT_FAILED));
        assertNull(harness.endAttempt(1, 1, Reason.CONNECT_FAILED));
        assertTrue(harness.isRefused(1));
    }

    @Test
    void requestsAreRefusedAtOnceWhenTheServerListIsEmpty() {
        RouterHarness harness = harness();
        assertNull(harness.submitRequest(1, RouterHarness.READ, 5));
        assertTrue(harness.isRefused(1));
        RouterHarness cacheAside = RouterHarness.cacheAside(0);
        cacheAside.applyFullList(List.of());
        assertNull(cacheAside.submitRequest(2, RouterHarness.DEDUPLICATED_WRITE, 5));
        assertTrue(cacheAside.isRefused(2));
    }

    @Test
    void disconnectedClientGetsNoAnswerAndItsAttemptIsCancelled() {
        RouterHarness harness = harness().withServers(4);
        harness.submitRequest(1, RouterHarness.READ, 5);
        harness.router.onClientGone(harness.now, 1);
        assertEquals(List.of("1/0"), harness.cancelledAttempts);
        assertNull(harness.endAttempt(1, 0, Reason.RESET));
        harness.router.onClientGone(harness.now, 1);
        harness.endAttempt(1, 0, Reason.OK);
        assertTrue(harness.refusals.isEmpty() && harness.failedRequestIds.isEmpty());
    }

    @Test
    void eventsWithUnknownIdsAreIgnored() {
        RouterHarness harness = harness().withServers(4);
        harness.endAttempt(77, 0, Reason.OK);
        harness.router.onClientGone(harness.now, 77);
        harness.router.onFirstByte(harness.now, 77, 0);
        harness.router.onTimer(harness.now, 12345);
        assertTrue(harness.sentAttempts.isEmpty() && harness.refusals.isEmpty());
    }

    /** The read may be refused, as a retry by the client is harmless; the other request can only fail. */
    @Test
    void requestsThatTimeOutAtTheDeadlineAreRefusedOrFailed() {
        RouterHarness harness = harness().withServers(4);
        harness.submitRequest(1, RouterHarness.READ, 5);
        harness.submitRequest(2, RouterHarness.NON_IDEMPOTENT_WRITE, 6);
        harness.advanceMs(2000);
        harness.endAttempt(1, 0, Reason.TIMEOUT);
        harness.endAttempt(2, 0, Reason.TIMEOUT);
        assertTrue(harness.isRefused(1));
        assertEquals(List.of(2L), harness.failedRequestIds);
    }

    @Test
    void attemptsEndAtTheGoalTimeIfLateAnswersHaveNoValue() {
        RouterHarness harness = harness().withServers(4);
        assertEquals(harness.now + 1000 * RouterHarness.MS,
                harness.submitRequest(1, RouterHarness.READ, 5).attemptDeadline());
        RouterHarness.SettingsBuilder builder = new RouterHarness.SettingsBuilder();
        builder.lateValue = 0.5;
        RouterHarness lateValueHarness = new RouterHarness(builder).withServers(4);
        assertEquals(lateValueHarness.now + 2000 * RouterHarness.MS,
                lateValueHarness.submitRequest(1, RouterHarness.READ, 5).attemptDeadline());
    }

    @Test
    void drainingAndRemovedHostsGetNoAttempts() {
        RouterHarness harness = harness().withServers(3);
        harness.applyDelta(RouterHarness.server(1, Api.State.DRAINING, 0), RouterHarness.server(2, Api.State.GONE, 0));
        for (int i = 0; i < 50; i++) {
            assertEquals(3, harness.submitRequest(i, RouterHarness.READ, i).serverId());
        }
        harness.applyFullList(List.of(RouterHarness.server(1)));
        assertEquals(1, harness.submitRequest(100, RouterHarness.READ, 5).serverId());
    }

    /** Two connect failures open the circuit breaker; after its open time it admits one probe. */
    @Test
    void deadHostIsAvoidedAndProbedLater() {
        RouterHarness harness = harness().withServers(2);
        long deadHostId = harness.openBreaker();
        for (int i = 10; i < 20; i++) {
            assertNotEquals(deadHostId, harness.submitRequest(i, RouterHarness.READ, 5).serverId());
            harness.endAttempt(i, 0, Reason.OK);
        }
        harness.advanceMs(1500);
        assertEquals(deadHostId, harness.submitRequest(30, RouterHarness.READ, 5).serverId());
        assertNotEquals(deadHostId, harness.submitRequest(31, RouterHarness.READ, 5).serverId());
    }

    /** With all breakers open the router ignores them: otherwise no request could find out that hosts are back. */
    @Test
    void requestIsSentEvenIfAllBreakersAreOpen() {
        RouterHarness harness = harness().withServers(3);
        for (int i = 0; i < 20; i++) {
            harness.submitRequest(i, RouterHarness.READ, i);
            for (int attemptIndex = 0; attemptIndex < 4; attemptIndex++) {
                harness.endAttempt(i, attemptIndex, Reason.CONNECT_FAILED);
            }
        }
        assertNotNull(harness.submitRequest(100, RouterHarness.READ, 5));
    }

    /** A cold host starts with less than one token, so that none is eligible; the limits are then relaxed. */
    @Test
    void requestsAreSentEvenIfAllHostsAreCold() {
        RouterHarness harness = harness();
        List<Api.Server> list = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            list.add(RouterHarness.server(i, Api.State.READY, harness.now));
        }
        harness.applyFullList(list);
        for (int i = 0; i < 8; i++) {
            assertNotNull(harness.submitRequest(i, RouterHarness.READ, i), "request " + i);
            harness.endAttempt(i, 0, Reason.OK);
        }
    }

    @Test
    void coldHostGetsAGrowingShareOfRequests() {
        RouterHarness harness = harness().withServers(3);
        harness.applyDelta(RouterHarness.server(4, Api.State.READY, harness.now));
        int early = sendReadsAndCountThoseTo(harness, 4, 0);
        harness.advanceMs(4000);
        int halfway = sendReadsAndCountThoseTo(harness, 4, 1000);
        harness.advanceMs(6000);
        int warm = sendReadsAndCountThoseTo(harness, 4, 2000);
        assertTrue(early < warm / 2, early + " reads while cold, reads when warm: " + warm);
        assertTrue(halfway > early && halfway < warm,
                early + " reads while cold, halfway " + halfway + ", warm " + warm);
    }

    /** Sends 400 reads and returns how many of them go to a server. */
    private static int sendReadsAndCountThoseTo(RouterHarness harness, long serverId, int firstId) {
        int count = 0;
        for (int i = 0; i < 400; i++) {
            count += harness.submitRequest(firstId + i, RouterHarness.READ, i).serverId() == serverId ? 1 : 0;
            harness.advanceMs(2);
            harness.endAttempt(firstId + i, 0, Reason.OK);
        }
        return count;
    }

    /**
     * The cold host's budget is a part of the rate of all requests. If all of them are for keys that the host would get
     * when warm, it gets only that part, here 4 * 0.5 / 10 at most. The other harness, in which it is warm, tells
     * which keys these are.
     */
    @Test
    void coldHostsBudgetHoldsIfAllRequestsAreForItsKeys() {
        RouterHarness warmFleet = harness().withServers(10);
        RouterHarness harness = harness().withServers(9);
        harness.applyDelta(RouterHarness.server(10, Api.State.READY, harness.now - 5_000 * RouterHarness.MS));
        int requestsForHost = 0;
        int sentWhileCold = 0;
        for (int i = 0; i < 1500; i++) {
            harness.advanceMs(1);
            boolean isForHost = warmFleet.submitRequest(i, RouterHarness.READ, i).serverId() == 10;
            warmFleet.endAttempt(i, 0, Reason.OK);
            if (isForHost) {
                requestsForHost++;
                sentWhileCold += harness.submitRequest(i, RouterHarness.READ, i).serverId() == 10 ? 1 : 0;
                harness.endAttempt(i, 0, Reason.OK);
            }
        }
        assertTrue(requestsForHost > 100 && sentWhileCold > 0
                && sentWhileCold <= requestsForHost * 4 * 0.5 / 10 + 1,
                sentWhileCold + " sent to the cold host, of requests for its keys: " + requestsForHost);
    }

    /** Tenant 0, whose allowance is 10 requests per second, sends more than that; tenant 1 stays within its own. */
    @Test
    void trafficOverATenantsShareIsShedFirstUnderOverload() {
        RouterHarness.SettingsBuilder builder = new RouterHarness.SettingsBuilder();
        builder.tenants = List.of(new Api.Tenant(10, 0.5), new Api.Tenant(1000, 0.5));
        builder.overShareValue = 0.05;
        RouterHarness harness = new RouterHarness(builder).withServers(4);
        for (int i = 0; i < 40; i++) {
            harness.submitRequest(i, RouterHarness.READ, i, 1, false);
        }
        for (int i = 0; i < 5; i++) {
            harness.endAttempt(i, 0, Reason.REJECTED);
            harness.endAttempt(i, 1, Reason.REJECTED);
        }
        for (int i = 0; i < 120; i++) {
            if (i == 60) {
                harness.refusals.clear();
            }
            harness.advanceMs(2);
            harness.submitRequest(1000 + i, RouterHarness.READ, i, i % 2, false);
        }
        long shedOverShare = harness.refusals.stream().filter(r -> r.requestId() % 2 == 0).count();
        long shedWithinShare = harness.refusals.size() - shedOverShare;
        assertTrue(shedOverShare >= 10 && shedWithinShare < shedOverShare / 2,
                shedOverShare + " shed over the share, " + shedWithinShare + " shed within the share");
    }

    /** Guards against calls of all instances to discovery at the same time; they keep to the order of their rank. */
    @Test
    void instancesSubscribeAtDifferentTimesAndAgainAfterAFailure() {
        long previousWaitNs = 0;
        for (int rank = 0; rank < 4; rank++) {
            RouterHarness.SettingsBuilder builder = new RouterHarness.SettingsBuilder();
            builder.mustSubscribe = true;
            builder.instanceCount = 4;
            builder.rank = rank;
            RouterHarness harness = new RouterHarness(builder);
            harness.router.onServerList(harness.now, Api.ListMode.CACHED, List.of(RouterHarness.server(1)));
            assertEquals(1, harness.pendingTimers.size());
            long waitNs = harness.pendingTimers.get(0).dueAt() - harness.now;
            assertTrue(waitNs > previousWaitNs && waitNs < 10_000 * RouterHarness.MS, "wait in ns: " + waitNs);
            previousWaitNs = waitNs;
            harness.advanceMs(10_000);
            assertEquals(1, harness.subscribeCount);
            harness.router.onServerList(harness.now, Api.ListMode.FAILED, List.of());
            harness.advanceMs(10_000);
            assertEquals(2, harness.subscribeCount);
            assertNotNull(harness.submitRequest(1, RouterHarness.READ, 5));
        }
    }

    @Test
    void readIsNotHedgedOnceItsAnswerIsStreaming() {
        RouterHarness harness = harness().withServers(4);
        harness.fillLatencyDigest(40);
        harness.submitRequest(1, RouterHarness.READ, 5);
        harness.router.onFirstByte(harness.now, 1, 0);
        harness.advanceMs(900);
        assertEquals(1, harness.sentAttempts.size());
        assertFalse(harness.isRefused(1));
    }

    /** Picture (b): the timer of each request that had ended was kept until it was due, and the request with it. */
    @Test
    void timersOfEndedRequestsAreNotKept() {
        RouterHarness harness = new RouterHarness(new RouterHarness.SettingsBuilder()).withServers(3);
        harness.submitRequest(0, RouterHarness.READ, 1); // Its timer comes before those of the others.
        for (int i = 1; i <= 50_000; i++) {
            harness.submitRequest(i, RouterHarness.READ, i);
            harness.endAttempt(i, 0, Reason.OK);
            harness.sentAttempts.clear();
            assertTrue(harness.router.timerCount() <= 1_000, "timers after " + i + " requests");
        }
    }
}
