package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.net.Faults.Call;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the balancer keeps serving when system calls fail temporarily with errors that their manual pages list,
 * such as EINTR, ENFILE or ENOBUFS: no request is lost, no watch ends, and no failure on the balancer's own machine
 * counts against a cache host.
 */
class SystemCallFaultsTest extends FaultInjectionTestBase {
    /** Without sockets discovery cannot be called; the watch must resume once sockets can be created again. */
    @ParameterizedTest
    @CsvSource({"subscribe,105", "subscribe,23", "automatic,105", "automatic,23"})
    void aFailedSocketCallDoesNotEndTheHostListWatch(String discoveryMode, int error) throws Exception {
        fixture.discoveryMode = discoveryMode;
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        faults.fail(Call.SOCKET, error, 3);
        discovery.setHostState("s-0", host.endpoint(), "Ready");
        faults.awaitFailureCount(Call.SOCKET, 3);
        discovery.setHostState("s-1", host.endpoint(), "Ready");
        awaitLatestListSent();
    }

    @ParameterizedTest
    @ValueSource(ints = {Faults.ENETUNREACH, Faults.EADDRNOTAVAIL, Faults.EHOSTUNREACH, Faults.ETIMEDOUT})
    void aFailedConnectCallDoesNotEndTheHostListWatch(int error) throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        faults.fail(Call.CONNECT, error, 2);
        discovery.setHostState("s-0", host.endpoint(), "Ready");
        faults.awaitFailureCount(Call.CONNECT, 2);
        discovery.setHostState("s-1", host.endpoint(), "Ready");
        awaitLatestListSent();
    }

    /** If these failures opened a host's circuit breaker, the host would still be avoided after they are over. */
    @ParameterizedTest
    @ValueSource(ints = {Faults.EADDRNOTAVAIL, Faults.ENOBUFS, Faults.ENETUNREACH})
    void localConnectFailuresDoNotCountAgainstAHost(int error) throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        try (LineSocket client = process.connectClient()) {
            faults.fail(Call.CONNECT, error, Faults.UNLIMITED, hostPort());
            while (!process.hasLogged("open-breakers")) {
                assertEquals("SERVER_ERROR busy", client.request(READ_WITH_SHORT_TIMEOUT));
            }
            faults.clear(Call.CONNECT);
            assertEquals("VA 16 O1", client.request(READ_WITH_SHORT_TIMEOUT));
        }
        assertFalse(process.hasLogged("open-breakers 1"), () -> process.log().toString());
    }

    /** Without sockets no cache host can be reached: requests must be refused in time instead of being lost. */
    @Test
    void requestsAreRefusedInTimeWhileNoSocketCanBeCreated() throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        List<LineSocket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 20; i++) {
                clients.add(process.connectClient());
                assertEquals("MN", clients.get(i).request("mn"));
            }
            faults.fail(Call.SOCKET, Faults.ENFILE, Faults.UNLIMITED);
            for (LineSocket client : clients) {
                client.write(READ_WITH_SHORT_TIMEOUT + "\r\n");
            }
            for (LineSocket client : clients) {
                client.setReadTimeout(400 + REPLY_GRACE_MS);
                assertEquals("SERVER_ERROR busy", client.readLine());
            }
            assertTrue(faults.failureCount(Call.SOCKET) > 0);
            faults.clear(Call.SOCKET);
            Await.until(() -> isServed(clients.get(0)), "service after the failure");
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
        assertFalse(process.hasLogged("exception"), () -> process.log().toString());
    }

    /** The connection stays in the accept queue, and a later accept call must take it from there. */
    @ParameterizedTest
    @ValueSource(ints = {Faults.ENFILE, Faults.ENOBUFS, Faults.ECONNABORTED, Faults.EINTR})
    void aFailedAcceptCallDoesNotLoseTheNextRequest(int error) throws Exception {
        process.startAndAwaitServing();
        faults.fail(Call.ACCEPT, error, 1, process.port);
        try (LineSocket client = process.connectClient()) {
            client.setReadTimeout(400 + REPLY_GRACE_MS);
            assertEquals("VA 16 O1", client.request(READ_WITH_SHORT_TIMEOUT));
        }
        faults.awaitFailureCount(Call.ACCEPT, 1);
    }

    /** The client has been waiting since it connected, so the host must be told a correspondingly shorter timeout. */
    @Test
    void timeInTheAcceptQueueCountsTowardsTheRequestTimeout() throws Exception {
        process.startAndAwaitServing();
        faults.fail(Call.ACCEPT, Faults.ENFILE, Faults.UNLIMITED, process.port);
        long startedAt = System.nanoTime();
        try (LineSocket client = process.connectClient()) {
            client.write(BalancerFixture.READ + "\r\n");
            Await.until(() -> System.nanoTime() - startedAt > Clock.SECOND, "one second to pass");
            faults.clear(Call.ACCEPT);
            String command = host.awaitCommand();
            assertNotNull(command);
            int statedTimeoutMs = Integer.parseInt(command.replaceAll(".*d=([0-9]+).*", "$1"));
            assertTrue(statedTimeoutMs <= 4_000 + 150, command);
            assertEquals("VA 16 O1", client.readLine());
        }
    }

    /**
     * A connection in the accept queue counts as accepted: the listening socket must not be closed at the end of the
     * stop's accept grace period while accept calls fail.
     */
    @Test
    void aStopLosesNoConnectionDelayedByAcceptFailures() throws Exception {
        process.startAndAwaitServing();
        process.sendSignal("TERM");
        faults.fail(Call.ACCEPT, Faults.ENFILE, Faults.UNLIMITED, process.port);
        try (LineSocket client = process.connectClient()) {
            client.write(BalancerFixture.READ + "\r\n");
            long sentAt = System.nanoTime();
            Await.until(() -> System.nanoTime() - sentAt > 650 * Clock.MILLISECOND,
                    "the end of the stop's accept grace period");
            faults.clear(Call.ACCEPT);
            assertNotNull(client.readLine(), "the client must get a reply");
        }
        assertEquals(0, process.awaitExit());
    }

    /** For an interrupted read the JDK returns a negative value, which Netty takes for the end of the stream. */
    @Test
    void anInterruptedReadDoesNotCloseAClientConnection() throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertEquals("MN", client.request("mn"));
            faults.fail(Call.READ, Faults.EINTR, 1, process.port);
            assertEquals("VA 16 O1", client.request(READ_WITH_SHORT_TIMEOUT));
            assertEquals(1, faults.failureCount(Call.READ));
        }
    }

    @Test
    void anInterruptedReadDoesNotEndTheHostListWatch() throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        faults.fail(Call.READ, Faults.EINTR, 1, Integer.parseInt(discovery.endpoint().split(":")[1]));
        discovery.setHostState("s-1", host.endpoint(), "Ready");
        awaitLatestListSent();
        awaitDiscoveryCalls(2);
        assertFalse(process.hasLogged("failed"), () -> process.log().toString());
    }

    @Test
    void interruptedPollCallsNeitherLoseRequestsNorLeakConnections() throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            client.request("mn");
            faults.failRandomly(Call.WAIT, Faults.EINTR, 400, 7);
            for (int i = 0; i < 100; i++) {
                // Closing the host's connections makes the next request open a new one.
                assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
                client.readData(16);
                host.closeConnections();
            }
            faults.clearAll();
        }
        int maxDescriptors = 40;
        Await.until(() -> process.openDescriptorCount() < maxDescriptors,
                "connections to be closed, descriptors open: " + process.openDescriptorCount());
    }

    @Test
    void partialReadsAndWritesDoNotCorruptMessages() throws Exception {
        process.startAndAwaitServing();
        faults.failRandomly(Call.READ, Faults.PARTIAL_TRANSFER, 600, 3);
        faults.failRandomly(Call.WRITE, Faults.PARTIAL_TRANSFER, 600, 5);
        try (LineSocket client = process.connectClient()) {
            for (int i = 0; i < 50; i++) {
                assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
                assertEquals("7f3a9c21e0b4d655", client.readData(16));
                assertEquals("HD O3 c77", client.request(BalancerFixture.DEDUPLICATED_WRITE));
            }
        }
        assertTrue(faults.failureCount(Call.READ) > 0 && faults.failureCount(Call.WRITE) > 0);
    }

    /** A read or write on the connection to the cache host fails while the request is in flight. */
    @ParameterizedTest
    @ValueSource(ints = {Faults.ETIMEDOUT, Faults.EHOSTUNREACH})
    void aRequestIsAnsweredThoughItsHostConnectionBreaks(int error) throws Exception {
        process.startAndAwaitServing();
        for (Call call : List.of(Call.READ, Call.WRITE)) {
            try (LineSocket client = process.connectClient()) {
                client.setReadTimeout(400 + REPLY_GRACE_MS);
                faults.fail(call, error, 1, hostPort());
                assertNotNull(client.request(READ_WITH_SHORT_TIMEOUT), call + " left the client without a reply");
                faults.awaitFailureCount(call, 1);
                faults.clear(call);
            }
        }
        try (LineSocket client = process.connectClient()) {
            Await.until(() -> isServed(client), "service after the failures");
        }
    }

    /** After "quit" the balancer sends its FIN with a half-close; if that fails, the connection must end anyway. */
    @Test
    void aFailedHalfCloseStillEndsTheConnection() throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertEquals("MN", client.request("mn"));
            faults.fail(Call.SHUTDOWN, Faults.ETIMEDOUT, Faults.UNLIMITED, process.port);
            client.setReadTimeout(REPLY_GRACE_MS);
            client.write("mn\r\nquit\r\n");
            assertEquals("MN", client.readLine());
            client.awaitPeerClose();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"OPEN", "FILE_READ"})
    void aReloadIsRetriedWhileItsFileCannotBeRead(String call) throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        try (DiscoveryServer newDiscovery = new DiscoveryServer()) {
            fixture.discoveryEndpoint = newDiscovery.endpoint();
            faults.fail(Call.valueOf(call), Faults.EIO, 3);
            process.reload();
            faults.awaitFailureCount(Call.valueOf(call), 3);
            Await.until(() -> newDiscovery.answerableCalls() > 0, "a call to discovery at the new address");
        }
    }

    /** SIGHUP may come while the file is still being written. */
    @Test
    void aReloadIsRetriedWhileItsFileIsIncomplete() throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        try (DiscoveryServer newDiscovery = new DiscoveryServer()) {
            fixture.discoveryEndpoint = newDiscovery.endpoint();
            String config = process.config();
            Files.writeString(process.configFile(), config.substring(0, config.length() / 2));
            process.sendSignal("HUP");
            process.awaitLogLine("keeping the current configuration");
            Files.writeString(process.configFile(), config);
            Await.until(() -> newDiscovery.answerableCalls() > 0, "a call to discovery at the new address");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"OPEN", "FILE_READ", "SOCKET"})
    void aStartSurvivesTransientFailures(String call) throws Exception {
        int failures = call.equals("SOCKET") ? 20 : 3;
        faults.fail(Call.valueOf(call), call.equals("SOCKET") ? Faults.ENOBUFS : Faults.EIO, failures);
        process.startAndAwaitServing();
        faults.awaitFailureCount(Call.valueOf(call), 3);
        try (LineSocket client = process.connectClient()) {
            assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
        }
    }

    /** A request that cannot be sent without a socket must get a reply, and must not keep the stop from completing. */
    @Test
    void aStopWhileSocketCallsFailAnswersOpenRequests() throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertEquals("MN", client.request("mn"));
            faults.fail(Call.SOCKET, Faults.ENOBUFS, Faults.UNLIMITED);
            client.write(BalancerFixture.READ + "\r\n");
            process.sendSignal("TERM");
            assertNotNull(client.readLine());
        }
        assertEquals(0, process.awaitExit());
    }

    /** Timeouts computed from the wall clock would end at once, or never, when the clock is set. */
    @ParameterizedTest
    @ValueSource(ints = {3_600, -3_600})
    void aWallClockStepDoesNotAffectTimeouts(int seconds) throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        try (LineSocket client = process.connectClient()) {
            assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
            client.readData(16);
            host.awaitCommand();
            faults.stepWallClock(seconds);
            assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
            int statedTimeoutMs = Integer.parseInt(host.awaitCommand().replaceAll(".*d=([0-9]+).*", "$1"));
            assertTrue(statedTimeoutMs > 0 && statedTimeoutMs <= 5_000,
                    "timeout stated to the host: " + statedTimeoutMs);
        }
        discovery.setHostState("s-1", host.endpoint(), "Ready");
        awaitLatestListSent();
        process.sendSignal("TERM");
        assertEquals(0, process.awaitExit());
    }

    /** The balancer must know changes that an unresponsive watch missed within 6 s, whatever else fails. */
    @Test
    void anUnresponsiveWatchIsReopenedInTimeDespiteSocketFailures() throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        discovery.ignoreNext(1);
        discovery.setHostState("s-0", host.endpoint(), "Ready");
        Await.until(() -> discovery.ignoredCalls() == 1, "the unresponsive call");
        long unresponsiveSince = System.nanoTime();
        discovery.setHostState("s-1", host.endpoint(), "Ready");
        faults.fail(Call.SOCKET, Faults.ENOBUFS, Faults.UNLIMITED);
        faults.awaitFailureCount(Call.SOCKET, 1);
        long failingSince = System.nanoTime();
        Await.until(() -> System.nanoTime() - failingSince > 1_800 * Clock.MILLISECOND, "the end of the failures");
        faults.clear(Call.SOCKET);
        assertLatestListSentWithinSixSeconds(unresponsiveSince);
    }

    private void assertLatestListSentWithinSixSeconds(long since) {
        awaitLatestListSent();
        long delayNs = discovery.firstSentAt(discovery.revision(), 0) - since;
        assertTrue(delayNs < 6 * Clock.SECOND, "latest list sent after " + delayNs / Clock.MILLISECOND + " ms");
    }

    @Test
    void twoConsecutiveUnresponsiveWatchesAreReopenedInTime() throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        discovery.ignoreNext(2);
        discovery.setHostState("s-0", host.endpoint(), "Ready");
        Await.until(() -> discovery.ignoredCalls() == 1, "the first unresponsive call");
        long unresponsiveSince = System.nanoTime();
        discovery.setHostState("s-1", host.endpoint(), "Ready");
        Await.until(() -> discovery.ignoredCalls() == 2, "the second unresponsive call");
        assertLatestListSentWithinSixSeconds(unresponsiveSince);
    }

    /**
     * Classes that only the handling of a failure needs cannot be loaded while files cannot be read, unless they were
     * loaded before: each kind of failure must be handled without a NoClassDefFoundError.
     */
    @Test
    void failuresAreHandledWhileNoFileCanBeRead() throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        faults.fail(Call.ANY_FILE_READ, Faults.EIO, Faults.UNLIMITED);
        faults.fail(Call.SOCKET, Faults.ENFILE, 2);
        faults.fail(Call.ACCEPT, Faults.ENFILE, 2, process.port);
        discovery.setHostState("s-0", host.endpoint(), "Ready");
        faults.awaitFailureCount(Call.SOCKET, 2);
        awaitLatestListSent();
        try (LineSocket client = process.connectClient()) {
            client.setReadTimeout(5_000 + REPLY_GRACE_MS);
            faults.fail(Call.CONNECT, Faults.ENETUNREACH, 1, hostPort());
            assertNotNull(client.request(BalancerFixture.READ),
                    "the client must get a reply though the connection to the host fails");
            Await.until(() -> isServed(client), "service while no file can be read");
            host.closeConnections();
            assertNotNull(client.request(BalancerFixture.DEDUPLICATED_WRITE));
            assertTrue(client.request("nonsense").startsWith("ERROR"));
            assertTrue(client.request("mg").startsWith("CLIENT_ERROR"));
        }
        discovery.failNext(4);
        discovery.setHostState("s-1", host.endpoint(), "Ready");
        awaitLatestListSent();
        try (DiscoveryServer newDiscovery = new DiscoveryServer()) {
            fixture.discoveryEndpoint = newDiscovery.endpoint();
            process.reload();
            process.awaitLogLine("keeping the current configuration");
            faults.clear(Call.ANY_FILE_READ);
            Await.until(() -> newDiscovery.answerableCalls() > 0, "a call to discovery at the new address");
        }
        faults.fail(Call.ANY_FILE_READ, Faults.EIO, Faults.UNLIMITED);
        try (LineSocket client = process.connectClient()) {
            client.write(BalancerFixture.READ + "\r\n");
            process.sendSignal("TERM");
            assertNotNull(client.readLine());
            client.awaitPeerClose();
        }
        assertEquals(0, process.awaitExit());
        assertFalse(process.hasLogged("NoClassDef"), () -> process.log().toString());
    }

    /** The disk that holds the log may be full or broken, or the write may be interrupted by a signal. */
    @ParameterizedTest
    @ValueSource(ints = {Faults.ENOSPC, Faults.EIO, Faults.EINTR})
    void failingLogWritesDoNotAffectService(int error) throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        faults.fail(Call.LOG_WRITE, error, error == Faults.EINTR ? 5 : Faults.UNLIMITED);
        faults.fail(Call.SOCKET, Faults.ENFILE, 2);
        discovery.setHostState("s-0", host.endpoint(), "Ready");
        awaitLatestListSent();
        faults.awaitFailureCount(Call.LOG_WRITE, 1);
        try (LineSocket client = process.connectClient()) {
            Await.until(() -> isServed(client), "service");
            faults.clear(Call.LOG_WRITE);
            client.write(BalancerFixture.READ + "\r\n");
            process.sendSignal("TERM");
            assertNotNull(client.readLine());
        }
        assertEquals(0, process.awaitExit());
    }

    /**
     * The commands of a client that has disconnected arrive with the end of the stream behind them. Read byte by byte,
     * they must not be processed before the end of the stream is seen.
     */
    @Test
    void noAttemptIsSentForADisconnectedClientReadByteByByte() throws Exception {
        process.startAndAwaitServing();
        faults.fail(Call.ACCEPT, Faults.ENFILE, Faults.UNLIMITED, process.port);
        faults.fail(Call.READ, Faults.PARTIAL_TRANSFER, Faults.UNLIMITED, process.port);
        try (LineSocket disconnected = process.connectClient()) {
            disconnected.write(
                    BalancerFixture.NON_IDEMPOTENT_WRITE + "\r\n" + BalancerFixture.DEDUPLICATED_WRITE + "\r\n");
        }
        try (LineSocket client = process.connectClient()) {
            client.write(BalancerFixture.READ + "\r\n");
            faults.clear(Call.ACCEPT);
            assertEquals("VA 16 O1", client.readLine());
        }
        assertTrue(host.awaitCommand().contains("O1 "));
        assertEquals(0, host.receivedCommands.size());
    }

    /** Discovery may queue each call for 2 s; a response timeout shorter than that would end every call. */
    @Test
    void aDiscoveryThatQueuesCallsIsAwaitedAfterAResponseTimeout() throws Exception {
        process.startAndAwaitServing();
        awaitDiscoveryCalls(1);
        discovery.ignoreNext(1);
        discovery.setHostState("s-0", host.endpoint(), "Ready");
        Await.until(() -> discovery.ignoredCalls() == 1, "the unresponsive call");
        discovery.queueDelayNs(2 * Clock.SECOND);
        discovery.setHostState("s-1", host.endpoint(), "Ready");
        Await.until(() -> discovery.firstSentAt(discovery.revision(), 0) != Long.MAX_VALUE,
                "a response to a call that has not timed out");
    }

    /** An exception while an accepted socket is set up must close that socket only. */
    @Test
    void aConnectionThatCannotBeSetUpDoesNotCloseTheListeningSocket() throws Exception {
        process.startAndAwaitServing();
        faults.fail(Call.FCNTL, Faults.ENOMEM, 1, process.port);
        try (LineSocket failing = process.connectClient()) {
            failing.write("mn\r\n");
            faults.awaitFailureCount(Call.FCNTL, 1);
            try (LineSocket client = process.connectClient()) {
                assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
            }
        }
    }

    /** A warm-up whose calls fail could hang, but a balancer has to be ready within ten seconds of its start. */
    @Test
    void callsThatFailDuringWarmUpDoNotDelayTheStart() throws Exception {
        fixture.allowedRequestsPerSecond = 100_000;
        faults.fail(Call.ACCEPT, Faults.ENFILE, 3);
        faults.failRandomly(Call.READ, Faults.ETIMEDOUT, 30, 11);
        long startedAt = System.nanoTime();
        process.startAndAwaitServing();
        assertTrue(System.nanoTime() - startedAt < 10 * Clock.SECOND, "the process was not ready within 10 s");
        faults.clearAll();
        try (LineSocket client = process.connectClient()) {
            assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
        }
    }

    /**
     * Without free descriptors an accept call fails even if no connection is waiting. Connections that arrive later
     * have not waited since that failure, and nothing may be deducted from their timeouts.
     */
    @Test
    void anAcceptFailureOnAnEmptyQueueDoesNotShortenLaterTimeouts() throws Exception {
        process.startAndAwaitServing();
        faults.failAfter(1, Call.ACCEPT, Faults.ENFILE, 1, process.port);
        try (LineSocket first = process.connectClient()) {
            assertEquals("MN", first.request("mn"));
            faults.awaitFailureCount(Call.ACCEPT, 1);
            long failedAt = System.nanoTime();
            Await.until(() -> System.nanoTime() - failedAt > Clock.SECOND, "one second to pass");
            try (LineSocket client = process.connectClient()) {
                assertEquals("VA 16 O1", client.request(READ_WITH_SHORT_TIMEOUT));
            }
        }
    }
}
