package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.net.Faults.Call;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against system calls on connections that fail although the connection is intact, such as for lack of memory:
 * read, write and close errors must not lose requests or replies, hide a disconnect, or change deadlines.
 *
 * <p>Numbers of the errors in the parameters: 4 EINTR, 12 ENOMEM, 105 ENOBUFS, 110 ETIMEDOUT, 113 EHOSTUNREACH.
 */
class ConnectionFaultsTest extends FaultInjectionTestBase {
    @ParameterizedTest
    @CsvSource({"12,1", "105,1", "110,1", "113,1", "12,10", "110,10"})
    void transientReadErrorsDoNotCloseAClientConnection(int error, int count) throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertEquals("MN", client.request("mn"));
            faults.fail(Call.READ, error, count, process.port);
            client.setReadTimeout(400 + REPLY_GRACE_MS);
            assertEquals("VA 16 O1", client.request(READ_WITH_SHORT_TIMEOUT));
            assertEquals(count, faults.failureCount(Call.READ));
        }
    }

    @ParameterizedTest
    @CsvSource({"12,1", "105,1", "110,1", "113,1", "105,10"})
    void transientWriteErrorsDoNotLoseAReply(int error, int count) throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertEquals("MN", client.request("mn"));
            faults.fail(Call.WRITE, error, count, process.port);
            client.setReadTimeout(400 + REPLY_GRACE_MS);
            assertEquals("VA 16 O1", client.request(READ_WITH_SHORT_TIMEOUT));
            assertEquals("7f3a9c21e0b4d655", client.readData(16));
            assertEquals(count, faults.failureCount(Call.WRITE));
        }
    }

    /** A write that may have run must not be repeated, so its response must not be lost. */
    @Test
    void transientReadErrorOnAHostConnectionDoesNotFailAWrite() throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            faults.fail(Call.READ, Faults.ETIMEDOUT, 1, hostPort());
            assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
            assertEquals(1, faults.failureCount(Call.READ));
        }
    }

    /** All reads on client connections fail for a long time: the connections are closed, and service then continues. */
    @Test
    void connectionsWithPersistentReadErrorsAreClosed() throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertEquals("MN", client.request("mn"));
            faults.fail(Call.READ, Faults.EHOSTUNREACH, Faults.UNLIMITED, process.port);
            client.write(READ_WITH_SHORT_TIMEOUT + "\r\n");
            client.awaitPeerClose();
            faults.clear(Call.READ);
        }
        try (LineSocket client = process.connectClient()) {
            Await.until(() -> isServed(client), "service to continue after the failures");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {Faults.ETIMEDOUT, Faults.ENOBUFS})
    void clientDisconnectIsDetectedDespiteReadErrors(int error) throws Exception {
        // A host that never responds replaces the usual one, which then only records commands and closed connections.
        fixture.hosts.remove(host);
        try (FakeHost unresponsive = new FakeHost(connection -> {
            while (host.readCommand(connection) != null) {
                assertTrue(connection.readLine() == null);
            }
            host.closedConnections.add("end");
        })) {
            fixture.hosts.add(unresponsive);
            process.startAndAwaitServing();
            try (LineSocket client = process.connectClient()) {
                assertEquals("MN", client.request("mn"));
                client.write(BalancerFixture.READ + "\r\n");
                host.awaitCommand();
                faults.fail(Call.READ, error, 5, process.port);
                client.reset();
                assertEquals("end", host.awaitConnectionClosed());
            }
        }
    }

    /** An idle host connection exists, so that the request could be forwarded as soon as it is read. */
    @ParameterizedTest
    @ValueSource(ints = {Faults.ENOMEM, Faults.EINTR})
    void requestReadAfterItsClientDisconnectedIsNotForwarded(int error) throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertEquals("VA 16 O1", client.request(READ_WITH_SHORT_TIMEOUT));
            client.readData(16);
            assertTrue(host.awaitCommand().contains("O1 "));
            try (LineSocket disconnected = process.connectClient()) {
                assertEquals("MN", disconnected.request("mn"));
                faults.fail(Call.READ, error, Faults.UNLIMITED, process.port);
                disconnected.write(BalancerFixture.DEDUPLICATED_WRITE + "\r\n");
                faults.awaitFailureCount(Call.READ, 4);
            }
            faults.clear(Call.READ);
            assertEquals("MN", client.request("mn"));
            assertEquals("VA 16 O1", client.request(READ_WITH_SHORT_TIMEOUT));
        }
        assertTrue(host.awaitCommand().contains("O1 "), "the request of the disconnected client was forwarded");
    }

    @ParameterizedTest
    @ValueSource(ints = {Faults.ENOMEM, Faults.EINTR})
    void timeLostToReadErrorsIsDeductedFromTheDeadline(int error) throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertEquals("MN", client.request("mn"));
            faults.fail(Call.READ, error, Faults.UNLIMITED, process.port);
            long startedAt = System.nanoTime();
            client.write(BalancerFixture.READ + "\r\n");
            Await.until(() -> System.nanoTime() - startedAt > 600 * Clock.MILLISECOND, "600 ms to pass");
            faults.clear(Call.READ);
            int statedTimeoutMs = Integer.parseInt(host.awaitCommand().replaceAll(".*d=([0-9]+).*", "$1"));
            assertTrue(statedTimeoutMs <= 4_400 + 150, "forwarded with d=" + statedTimeoutMs);
            assertEquals("VA 16 O1", client.readLine());
        }
    }

    /** The read that fails is the one that looks for more input after a request, when there is none. */
    @ParameterizedTest
    @CsvSource({"12,2", "12,60", "4,9"})
    void readErrorsWithNoInputWaitingDoNotShortenTheNextDeadline(int error, int count) throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertEquals("MN", client.request("mn"));
            faults.failAfter(1, Call.READ, error, count, process.port);
            assertEquals("MN", client.request("mn"));
            faults.awaitFailureCount(Call.READ, count);
            long startedAt = System.nanoTime();
            Await.until(() -> System.nanoTime() - startedAt > 600 * Clock.MILLISECOND, "600 ms to pass");
            assertEquals("VA 16 O1", client.request(READ_WITH_SHORT_TIMEOUT));
        }
    }

    /** The descriptor is closed despite the error, which must not be taken for a failure of the event loop itself. */
    @ParameterizedTest
    @ValueSource(ints = {Faults.EINTR, Faults.EIO})
    void failedCloseDoesNotDelayOtherRequests(int error) throws Exception {
        process.startAndAwaitServing();
        try (LineSocket client = process.connectClient()) {
            assertEquals("MN", client.request("mn"));
            for (int i = 1; i <= 5; i++) {
                try (LineSocket disconnecting = process.connectClient()) {
                    assertEquals("MN", disconnecting.request("mn"));
                    faults.fail(Call.CLOSE, error, 1, process.port);
                }
                faults.awaitFailureCount(Call.CLOSE, i);
                client.setReadTimeout(400 + REPLY_GRACE_MS);
                assertEquals("VA 16 O1", client.request(READ_WITH_SHORT_TIMEOUT));
                client.readData(16);
            }
        }
        assertFalse(process.hasLogged("xception"), () -> process.log().toString());
    }
}
