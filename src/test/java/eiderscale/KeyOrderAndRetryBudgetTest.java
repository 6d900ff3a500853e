package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.Reason;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what settings may ask for: classes that are serial by key, and a configured retry budget. */
class KeyOrderAndRetryBudgetTest {
    private static RouterHarness harnessWithSerialKeys() {
        RouterHarness.SettingsBuilder builder = new RouterHarness.SettingsBuilder();
        builder.isSerialByKey = true;
        return new RouterHarness(builder).withServers(6);
    }

    private static RouterHarness harnessWithRetryBudget(double minRetries, double retryRatio) {
        RouterHarness.SettingsBuilder builder = new RouterHarness.SettingsBuilder();
        builder.retryBudget = new Api.RetryBudget(minRetries, retryRatio, 2000 * RouterHarness.MS);
        return new RouterHarness(builder).withServers(6);
    }

    @Test
    void requestsWithTheSameKeyRunOneAtATimeInArrivalOrder() {
        RouterHarness harness = harnessWithSerialKeys();
        assertNotNull(harness.submitRequest(1, RouterHarness.DEDUPLICATED_WRITE, 5));
        assertNull(harness.submitRequest(2, RouterHarness.DEDUPLICATED_WRITE, 5));
        assertNull(harness.submitRequest(3, RouterHarness.DEDUPLICATED_WRITE, 5));
        // Another key.
        assertNotNull(harness.submitRequest(4, RouterHarness.DEDUPLICATED_WRITE, 6), "must not wait for key 5");
        // A class that is not serial by key.
        assertNotNull(harness.submitRequest(5, RouterHarness.READ, 5), "must not wait for key 5");
        assertEquals(2, harness.endAttempt(1, 0, Reason.OK).requestId());
        assertEquals(3, harness.endAttempt(2, 0, Reason.OK).requestId());
    }

    @Test
    void keyCoolsDownAfterAnAttemptThatMayStillBeRunning() {
        for (Reason reason : new Reason[] {Reason.TIMEOUT, Reason.RESET}) {
            RouterHarness harness = harnessWithSerialKeys();
            harness.submitRequest(1, RouterHarness.DEDUPLICATED_WRITE, 5);
            harness.submitRequest(2, RouterHarness.DEDUPLICATED_WRITE, 5);
            harness.advanceMs(900);
            assertNull(harness.endAttempt(1, 0, reason));
            harness.advanceMs(49);
            assertEquals(1, harness.sentAttempts.size(), reason + ": nothing is sent during the cooldown");
            harness.advanceMs(1);
            assertEquals(2, harness.sentAttempts.size(),
                    reason + ": the next request is sent when the cooldown is over");
        }
    }

    /** The attempt may still be running after its client has disconnected, and during a cooldown after its end. */
    @Test
    void keyStaysTakenAfterADisconnectUntilTheAttemptHasEnded() {
        RouterHarness harness = harnessWithSerialKeys();
        harness.submitRequest(1, RouterHarness.DEDUPLICATED_WRITE, 5);
        harness.submitRequest(2, RouterHarness.DEDUPLICATED_WRITE, 5);
        harness.router.onClientGone(harness.now, 1);
        harness.advanceMs(300);
        assertEquals(1, harness.sentAttempts.size());
        harness.endAttempt(1, 0, Reason.CANCELLED);
        harness.advanceMs(50);
        assertEquals(2, harness.sentAttempts.get(1).requestId());
    }

    /** The cooldown starts when the only request with the key ends, and holds for one that arrives later. */
    @Test
    void cooldownLastsEvenIfNoRequestWaits() {
        RouterHarness harness = harnessWithSerialKeys();
        harness.submitRequest(1, RouterHarness.DEDUPLICATED_WRITE, 5);
        harness.advanceMs(900);
        harness.endAttempt(1, 0, Reason.TIMEOUT);
        harness.advanceMs(10);
        assertNull(harness.submitRequest(2, RouterHarness.DEDUPLICATED_WRITE, 5));
        harness.advanceMs(40);
        assertEquals(2, harness.sentAttempts.size());
    }

    @Test
    void waitingRequestIsRefusedOnceAtTheGoalTime() {
        RouterHarness harness = harnessWithSerialKeys();
        harness.submitRequest(1, RouterHarness.DEDUPLICATED_WRITE, 5);
        harness.submitRequest(2, RouterHarness.DEDUPLICATED_WRITE, 5);
        harness.advanceMs(999);
        assertTrue(harness.refusals.isEmpty());
        harness.advanceMs(1);
        assertTrue(harness.isRefused(2));
        harness.endAttempt(1, 0, Reason.OK);
        assertEquals(1, harness.refusals.size());
        assertEquals(1, harness.sentAttempts.size());
    }

    /** Guards against a queue that grows without bound: attempts take 200 ms, and the goal time is 1000 ms. */
    @Test
    void requestsThatWouldWaitTooLongForTheirKeyAreRefusedAtOnce() {
        RouterHarness harness = harnessWithSerialKeys();
        for (long id = 1; id <= 40; id++) {
            harness.submitRequest(id, RouterHarness.DEDUPLICATED_WRITE, 100 + id);
            harness.advanceMs(200);
            harness.endAttempt(id, 0, Reason.OK);
        }
        for (long id = 100; id < 120; id++) {
            harness.submitRequest(id, RouterHarness.DEDUPLICATED_WRITE, 5);
        }
        // Only requests that can be served before their goal time wait for the key.
        assertTrue(harness.refusals.size() >= 14, "refused at once: " + harness.refusals.size());
        assertTrue(harness.refusals.size() <= 16, "refused at once: " + harness.refusals.size());
    }

    @Test
    void retriesStayWithinTheBudgetOfTheSlidingWindow() {
        RouterHarness harness = harnessWithRetryBudget(1, 0.05);
        int retries = 0;
        for (long id = 1; id <= 40; id++) {
            harness.submitRequest(id, RouterHarness.READ, id);
            Reason reason = id > 35 ? Reason.CONNECT_FAILED : Reason.OK;
            retries += harness.endAttempt(id, 0, reason) != null ? 1 : 0;
        }
        assertEquals(3, retries, "1 plus 5 % of 40 requests");
        harness.advanceMs(2000);
        harness.submitRequest(50, RouterHarness.READ, 5);
        assertNull(harness.endAttempt(50, 0, Reason.CONNECT_FAILED),
                "retries sent 2 s ago are still in the window, requests received then are not");
        harness.advanceMs(1);
        harness.submitRequest(51, RouterHarness.READ, 5);
        assertNotNull(harness.endAttempt(51, 0, Reason.CONNECT_FAILED));
    }

    @Test
    void hedgesAreChargedToTheConfiguredBudget() {
        RouterHarness harness = harnessWithRetryBudget(1, 0);
        harness.fillLatencyDigest(40);
        harness.advanceMs(2001);
        harness.submitRequest(1, RouterHarness.READ, 5);
        harness.advanceMs(100);
        assertEquals(2, harness.sentAttempts.size(), "a hedge is sent");
        harness.submitRequest(2, RouterHarness.READ, 6);
        assertNull(harness.endAttempt(2, 0, Reason.REJECTED));
    }

    @Test
    void originFetchAfterAMissIsNotChargedToTheBudget() {
        RouterHarness.SettingsBuilder builder = new RouterHarness.SettingsBuilder();
        builder.isCacheAside = true;
        builder.retryBudget = new Api.RetryBudget(0, 0, 2000 * RouterHarness.MS);
        RouterHarness harness = new RouterHarness(builder).applyFullList(List.of(RouterHarness.server(1),
                RouterHarness.server(2), RouterHarness.origin(99)));
        harness.submitRequest(1, RouterHarness.READ, 5);
        assertEquals(99, harness.endAttempt(1, 0, Reason.MISS).serverId());
        assertNull(harness.endAttempt(1, 1, Reason.CONNECT_FAILED));
    }

    /**
     * Guards against a stack overflow: if the end of a request started the next one with its key by a recursive call, a
     * long queue of expired requests would fill the stack.
     */
    @Test
    void longQueueOfExpiredRequestsDoesNotOverflowTheStack() {
        RouterHarness harness = harnessWithSerialKeys();
        int requestCount = 50_000;
        for (long id = 1; id <= requestCount; id++) {
            harness.submitRequest(id, RouterHarness.DEDUPLICATED_WRITE, 5);
        }
        assertEquals(1, harness.sentAttempts.size(), "requests with the same key run one at a time");
        harness.now += 10_000 * RouterHarness.MS;
        harness.endAttempt(1, 0, Api.Reason.OK);
        assertEquals(requestCount - 1, harness.refusals.size());
        assertEquals(1, harness.sentAttempts.size());
    }

    @Test
    void requestOfADisconnectedClientIsNotStartedRetriedOrHedged() {
        RouterHarness harness = harnessWithSerialKeys();
        harness.submitRequest(1, RouterHarness.DEDUPLICATED_WRITE, 5);
        harness.submitRequest(2, RouterHarness.DEDUPLICATED_WRITE, 5);
        harness.router.onClientGone(harness.now, 2);
        harness.endAttempt(1, 0, Api.Reason.OK);
        harness.advanceMs(5_000);
        assertEquals(1, harness.sentAttempts.size(), "the request is not started");
        harness.fillLatencyDigest(64);
        harness.submitRequest(3, RouterHarness.READ, 6);
        harness.router.onClientGone(harness.now, 3);
        harness.advanceMs(2_000);
        harness.endAttempt(3, 0, Api.Reason.RESET);
        harness.advanceMs(2_000);
        assertEquals(1, harness.sentAttempts.size(), "the request is neither hedged nor retried");
    }
}
