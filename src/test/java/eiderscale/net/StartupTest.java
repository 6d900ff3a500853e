package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a process that serves clients by an outdated host list, or that waits too long for a newer one. */
class StartupTest extends FaultInjectionTestBase {
    /** With an automatic watch the latest list must be known from the start, even if discovery responds late. */
    @Test
    void automaticWatchGetsTheLatestListBeforeClientsAreServed() throws Exception {
        fixture.discoveryMode = "automatic";
        discovery.queueDelayNs(600 * Clock.MILLISECOND);
        discovery.setHostState("s-0", host.endpoint(), "Terminating");
        process.startAndAwaitServing();
        assertEquals(discovery.revision(), discovery.latestSentRevision());
    }

    /** A first call with the usual long-poll timeout would delay every start by that time. */
    @Test
    void startupDoesNotWaitForChangesWhenTheConfiguredListIsTheLatest() throws Exception {
        fixture.discoveryMode = "automatic";
        fixture.initialRevision = discovery.revision();
        process.startAndAwaitServing();
        assertEquals(discovery.revision(), discovery.latestSentRevision());
        assertTrue(process.hasLogged("first list"));
    }

    @Test
    void startupDoesNotWaitForUnresponsiveDiscovery() throws Exception {
        fixture.discoveryMode = "automatic";
        discovery.ignoreNext(1_000);
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertTrue(isServed(client));
        }
    }
}
