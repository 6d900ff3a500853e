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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as a process whose system calls fail for a moment, in the ways that their manual pages name. */
class SystemCallFaultsTest extends ProcessUnderFaults {
    @ParameterizedTest
    @CsvSource({"subscribe,105", "subscribe,23", "automatic,105", "automatic,23"})
    void aSocketCallThatFailsDoesNotEndTheWatchOfTheList(String listed, int error) throws Exception {
        rig.listed = listed;
        process.startAndServe();
        awaitCalls(1);
        faults.fail(Call.SOCKET, error, 3);
        discovery.set("s-0", host.endpoint(), "Ready");
        faults.awaitFailed(Call.SOCKET, 3);
        discovery.set("s-1", host.endpoint(), "Ready");
        awaitToldAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {Faults.ENETUNREACH, Faults.EADDRNOTAVAIL, Faults.EHOSTUNREACH, Faults.ETIMEDOUT})
    void aConnectCallThatFailsDoesNotEndTheWatchOfTheList(int error) throws Exception {
        process.startAndServe();
        awaitCalls(1);
        faults.fail(Call.CONNECT, error, 2);
        discovery.set("s-0", host.endpoint(), "Ready");
        faults.awaitFailed(Call.CONNECT, 2);
        discovery.set("s-1", host.endpoint(), "Ready");
        awaitToldAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {Faults.EADDRNOTAVAIL, Faults.ENOBUFS, Faults.ENETUNREACH})
    void connectionsThatThisMachineCannotMakeAreBlamedOnNoHost(int error) throws Exception {
        process.startAndServe();
        awaitCalls(1);
        try (Peer client = process.client()) {
            faults.fail(Call.CONNECT, error, Faults.ENDLESS, hostPort());
            while (!process.hasLogged("open-breakers")) {
                assertEquals("SERVER_ERROR busy", client.ask(SHORT_READ));
            }
            faults.heal(Call.CONNECT);
            assertEquals("VA 16 O1", client.ask(SHORT_READ));
        }
        assertFalse(process.hasLogged("open-breakers 1"), () -> process.log().toString());
    }

    @Test
    void requestsAreAnsweredOnceWhileNoConnectionToAHostCanBeMade() throws Exception {
        process.startAndServe();
        awaitCalls(1);
        List<Peer> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 20; i++) {
                clients.add(process.client());
                assertEquals("MN", clients.get(i).ask("mn"));
            }
            faults.fail(Call.SOCKET, Faults.ENFILE, Faults.ENDLESS);
            for (Peer client : clients) {
                client.write(SHORT_READ + "\r\n");
            }
            for (Peer client : clients) {
                client.limit(400 + LOST_AFTER_MS);
                assertEquals("SERVER_ERROR busy", client.line());
            }
            assertTrue(faults.failed(Call.SOCKET) > 0);
            faults.heal(Call.SOCKET);
            Waiting.until(() -> served(clients.get(0)), "service after the failure");
        } finally {
            for (Peer client : clients) {
                client.close();
            }
        }
        assertFalse(process.hasLogged("exception"), () -> process.log().toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {Faults.ENFILE, Faults.ENOBUFS, Faults.ECONNABORTED, Faults.EINTR})
    void anAcceptCallThatFailsOnceDoesNotLoseTheNextRequest(int error) throws Exception {
        process.startAndServe();
        faults.fail(Call.ACCEPT, error, 1, process.port);
        try (Peer client = process.client()) {
            client.limit(400 + LOST_AFTER_MS);
            assertEquals("VA 16 O1", client.ask(SHORT_READ));
        }
        faults.awaitFailed(Call.ACCEPT, 1);
    }

    /** What a client has left to wait includes the time that its connection stood unaccepted. */
    @Test
    void theTimeThatAConnectionWaitedToBeAcceptedIsTakenOffItsRequestsDeadline() throws Exception {
        process.startAndServe();
        faults.fail(Call.ACCEPT, Faults.ENFILE, Faults.ENDLESS, process.port);
        long begun = System.nanoTime();
        try (Peer client = process.client()) {
            client.write(Rig.READ + "\r\n");
            Waiting.until(() -> System.nanoTime() - begun > Clock.SECOND, "a second");
            faults.heal(Call.ACCEPT);
            String command = host.command();
            assertNotNull(command);
            int told = Integer.parseInt(command.replaceAll(".*d=([0-9]+).*", "$1"));
            assertTrue(told <= 4_000 + 150, command);
            assertEquals("VA 16 O1", client.line());
        }
    }

    /** The accept queue holds what counts as taken when a stop closes it. */
    @Test
    void aStopLosesNoConnectionThatAnAcceptFailureHeldUp() throws Exception {
        process.startAndServe();
        process.signal("TERM");
        faults.fail(Call.ACCEPT, Faults.ENFILE, Faults.ENDLESS, process.port);
        try (Peer client = process.client()) {
            client.write(Rig.READ + "\r\n");
            long begun = System.nanoTime();
            Waiting.until(() -> System.nanoTime() - begun > 650 * Clock.MILLISECOND, "the end of the stop's first phase");
            faults.heal(Call.ACCEPT);
            assertNotNull(client.line(), "an answer of any kind");
        }
        assertEquals(0, process.exit());
    }

    @Test
    void anInterruptedReadDoesNotEndAClientsConnection() throws Exception {
        process.startAndServe();
        try (Peer client = process.client()) {
            assertEquals("MN", client.ask("mn"));
            faults.fail(Call.READ, Faults.EINTR, 1, process.port);
            assertEquals("VA 16 O1", client.ask(SHORT_READ));
            assertEquals(1, faults.failed(Call.READ));
        }
    }

    @Test
    void anInterruptedReadDoesNotEndTheWatchOfTheList() throws Exception {
        process.startAndServe();
        awaitCalls(1);
        faults.fail(Call.READ, Faults.EINTR, 1, Integer.parseInt(discovery.endpoint().split(":")[1]));
        discovery.set("s-1", host.endpoint(), "Ready");
        awaitToldAll();
        awaitCalls(2);
        assertFalse(process.hasLogged("failed"), () -> process.log().toString());
    }

    @Test
    void interruptedWaitsNeitherLoseRequestsNorLeakConnections() throws Exception {
        process.startAndServe();
        try (Peer client = process.client()) {
            client.ask("mn");
            faults.failSome(Call.WAIT, Faults.EINTR, 400, 7);
            for (int i = 0; i < 100; i++) {
                // A cache host that closes after each answer makes the next request connect anew.
                assertEquals("VA 16 O1", client.ask(Rig.READ));
                client.data(16);
                host.endConnections();
            }
            faults.healAll();
        }
        int most = 40;
        Waiting.until(() -> process.descriptors() < most, "connections to be closed: " + process.descriptors());
    }

    @Test
    void shortReadsAndWritesKeepMessagesWhole() throws Exception {
        process.startAndServe();
        faults.failSome(Call.READ, Faults.SHORT, 600, 3);
        faults.failSome(Call.WRITE, Faults.SHORT, 600, 5);
        try (Peer client = process.client()) {
            for (int i = 0; i < 50; i++) {
                assertEquals("VA 16 O1", client.ask(Rig.READ));
                assertEquals("7f3a9c21e0b4d655", client.data(16));
                assertEquals("HD O3 c77", client.ask(Rig.PUT));
            }
        }
        assertTrue(faults.failed(Call.READ) > 0 && faults.failed(Call.WRITE) > 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {Faults.ETIMEDOUT, Faults.EHOSTUNREACH})
    void aHostsConnectionThatBreaksUnderARequestLeavesTheClientItsAnswer(int error) throws Exception {
        process.startAndServe();
        for (Call call : List.of(Call.READ, Call.WRITE)) {
            try (Peer client = process.client()) {
                client.limit(400 + LOST_AFTER_MS);
                faults.fail(call, error, 1, hostPort());
                assertNotNull(client.ask(SHORT_READ), call + " left the client without an answer");
                faults.awaitFailed(call, 1);
                faults.heal(call);
            }
        }
        try (Peer client = process.client()) {
            Waiting.until(() -> served(client), "service after the failures");
        }
    }

    @Test
    void aHalfCloseThatFailsEndsTheConnectionAllTheSame() throws Exception {
        process.startAndServe();
        try (Peer client = process.client()) {
            assertEquals("MN", client.ask("mn"));
            faults.fail(Call.SHUTDOWN, Faults.ETIMEDOUT, Faults.ENDLESS, process.port);
            client.limit(LOST_AFTER_MS);
            client.write("mn\r\nquit\r\n");
            assertEquals("MN", client.line());
            client.awaitEnd();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"OPEN", "FILE_READ"})
    void aReloadWhoseFileCannotBeReadForAMomentIsFollowed(String call) throws Exception {
        process.startAndServe();
        awaitCalls(1);
        try (DiscoveryServer moved = new DiscoveryServer()) {
            rig.discovery = moved.endpoint();
            faults.fail(Call.valueOf(call), Faults.EIO, 3);
            process.reload();
            faults.awaitFailed(Call.valueOf(call), 3);
            Waiting.until(() -> moved.calls() > 0, "a call at the new address");
        }
    }

    @Test
    void aReloadThatFindsAHalfWrittenFileIsFollowedOnceItIsWhole() throws Exception {
        process.startAndServe();
        awaitCalls(1);
        try (DiscoveryServer moved = new DiscoveryServer()) {
            rig.discovery = moved.endpoint();
            String whole = process.config();
            Files.writeString(process.configFile(), whole.substring(0, whole.length() / 2));
            process.signal("HUP");
            process.awaitLine("keeping the current configuration");
            Files.writeString(process.configFile(), whole);
            Waiting.until(() -> moved.calls() > 0, "a call at the new address");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"OPEN", "FILE_READ", "SOCKET"})
    void aStartIsNotGivenUpOverCallsThatFailForAMoment(String call) throws Exception {
        int failures = call.equals("SOCKET") ? 20 : 3;
        faults.fail(Call.valueOf(call), call.equals("SOCKET") ? Faults.ENOBUFS : Faults.EIO, failures);
        process.startAndServe();
        faults.awaitFailed(Call.valueOf(call), 3);
        try (Peer client = process.client()) {
            assertEquals("VA 16 O1", client.ask(Rig.READ));
        }
    }

    @Test
    void aStopWhileSocketCallsFailAnswersWhatIsOpenAndEnds() throws Exception {
        process.startAndServe();
        try (Peer client = process.client()) {
            assertEquals("MN", client.ask("mn"));
            faults.fail(Call.SOCKET, Faults.ENOBUFS, Faults.ENDLESS);
            client.write(Rig.READ + "\r\n");
            process.signal("TERM");
            assertNotNull(client.line());
        }
        assertEquals(0, process.exit());
    }

    @ParameterizedTest
    @ValueSource(ints = {3_600, -3_600})
    void aSteppedWallClockChangesNoDeadlineAndEndsNoWait(int seconds) throws Exception {
        process.startAndServe();
        awaitCalls(1);
        try (Peer client = process.client()) {
            assertEquals("VA 16 O1", client.ask(Rig.READ));
            client.data(16);
            host.command();
            faults.stepWallClock(seconds);
            assertEquals("VA 16 O1", client.ask(Rig.READ));
            int told = Integer.parseInt(host.command().replaceAll(".*d=([0-9]+).*", "$1"));
            assertTrue(told > 0 && told <= 5_000, "told to wait " + told);
        }
        discovery.set("s-1", host.endpoint(), "Ready");
        awaitToldAll();
        process.signal("TERM");
        assertEquals(0, process.exit());
    }

    /** What a silent watch misses counts as told 6 s after it fell silent, whatever else fails. */
    @Test
    void aSilentWatchIsOpenedAnewInTimeThoughNoSocketCanBeMadeForAWhile() throws Exception {
        process.startAndServe();
        awaitCalls(1);
        discovery.silenceNext(1);
        discovery.set("s-0", host.endpoint(), "Ready");
        Waiting.until(() -> discovery.silenced() == 1, "the silent watch");
        long silentSince = System.nanoTime();
        discovery.set("s-1", host.endpoint(), "Ready");
        faults.fail(Call.SOCKET, Faults.ENOBUFS, Faults.ENDLESS);
        faults.awaitFailed(Call.SOCKET, 1);
        long failingSince = System.nanoTime();
        Waiting.until(() -> System.nanoTime() - failingSince > 1_800 * Clock.MILLISECOND, "the end of the failures");
        faults.heal(Call.SOCKET);
        assertToldWithinSixSeconds(silentSince);
    }

    private void assertToldWithinSixSeconds(long since) {
        awaitToldAll();
        long told = discovery.writtenAt(discovery.version(), 0) - since;
        assertTrue(told < 6 * Clock.SECOND, "told after " + told / Clock.MILLISECOND + " ms");
    }

    @Test
    void twoSilentWatchesInARowAreOpenedAnewInTime() throws Exception {
        process.startAndServe();
        awaitCalls(1);
        discovery.silenceNext(2);
        discovery.set("s-0", host.endpoint(), "Ready");
        Waiting.until(() -> discovery.silenced() == 1, "the first silent watch");
        long silentSince = System.nanoTime();
        discovery.set("s-1", host.endpoint(), "Ready");
        Waiting.until(() -> discovery.silenced() == 2, "the second silent watch");
        assertToldWithinSixSeconds(silentSince);
    }

    /** Classes that are first needed on a failure's path are not to be had while files cannot be read. */
    @Test
    void failuresAreSurvivedWhileNoFileCanBeRead() throws Exception {
        process.startAndServe();
        awaitCalls(1);
        faults.fail(Call.ANY_FILE_READ, Faults.EIO, Faults.ENDLESS);
        faults.fail(Call.SOCKET, Faults.ENFILE, 2);
        faults.fail(Call.ACCEPT, Faults.ENFILE, 2, process.port);
        discovery.set("s-0", host.endpoint(), "Ready");
        faults.awaitFailed(Call.SOCKET, 2);
        awaitToldAll();
        try (Peer client = process.client()) {
            client.limit(5_000 + LOST_AFTER_MS);
            faults.fail(Call.CONNECT, Faults.ENETUNREACH, 1, hostPort());
            assertNotNull(client.ask(Rig.READ), "the connection to the host fails");
            Waiting.until(() -> served(client), "service while no file can be read");
            host.endConnections();
            assertNotNull(client.ask(Rig.PUT));
            assertTrue(client.ask("nonsense").startsWith("ERROR"));
            assertTrue(client.ask("mg").startsWith("CLIENT_ERROR"));
        }
        discovery.failNext(4);
        discovery.set("s-1", host.endpoint(), "Ready");
        awaitToldAll();
        try (DiscoveryServer moved = new DiscoveryServer()) {
            rig.discovery = moved.endpoint();
            process.reload();
            process.awaitLine("keeping the current configuration");
            faults.heal(Call.ANY_FILE_READ);
            Waiting.until(() -> moved.calls() > 0, "a call at the new address");
        }
        faults.fail(Call.ANY_FILE_READ, Faults.EIO, Faults.ENDLESS);
        try (Peer client = process.client()) {
            client.write(Rig.READ + "\r\n");
            process.signal("TERM");
            assertNotNull(client.line());
            client.awaitEnd();
        }
        assertEquals(0, process.exit());
        assertFalse(process.hasLogged("NoClassDef"), () -> process.log().toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {Faults.ENOSPC, Faults.EIO, Faults.EINTR})
    void aLogThatCannotBeWrittenChangesNothing(int error) throws Exception {
        process.startAndServe();
        awaitCalls(1);
        faults.fail(Call.LOG_WRITE, error, error == Faults.EINTR ? 5 : Faults.ENDLESS);
        faults.fail(Call.SOCKET, Faults.ENFILE, 2);
        discovery.set("s-0", host.endpoint(), "Ready");
        awaitToldAll();
        faults.awaitFailed(Call.LOG_WRITE, 1);
        try (Peer client = process.client()) {
            Waiting.until(() -> served(client), "service");
            faults.heal(Call.LOG_WRITE);
            client.write(Rig.READ + "\r\n");
            process.signal("TERM");
            assertNotNull(client.line());
        }
        assertEquals(0, process.exit());
    }

    @Test
    void nothingIsBegunForAClientThatLeftThoughItsBytesAreReadOneByOne() throws Exception {
        process.startAndServe();
        faults.fail(Call.ACCEPT, Faults.ENFILE, Faults.ENDLESS, process.port);
        faults.fail(Call.READ, Faults.SHORT, Faults.ENDLESS, process.port);
        try (Peer left = process.client()) {
            left.write(Rig.COPY + "\r\n" + Rig.PUT + "\r\n");
        }
        try (Peer client = process.client()) {
            client.write(Rig.READ + "\r\n");
            faults.heal(Call.ACCEPT);
            assertEquals("VA 16 O1", client.line());
        }
        assertTrue(host.command().contains("O1 "));
        assertEquals(0, host.commands.size());
    }

    @Test
    void aDiscoveryWithALineOfTwoSecondsIsHeardAfterASilence() throws Exception {
        process.startAndServe();
        awaitCalls(1);
        discovery.silenceNext(1);
        discovery.set("s-0", host.endpoint(), "Ready");
        Waiting.until(() -> discovery.silenced() == 1, "the silent watch");
        discovery.delay(2 * Clock.SECOND);
        discovery.set("s-1", host.endpoint(), "Ready");
        Waiting.until(() -> discovery.writtenAt(discovery.version(), 0) != Long.MAX_VALUE, "an answer to a caller that waits");
    }

    @Test
    void aConnectionThatCannotBeSetUpDoesNotEndTheListening() throws Exception {
        process.startAndServe();
        faults.fail(Call.FCNTL, Faults.ENOMEM, 1, process.port);
        try (Peer lost = process.client()) {
            lost.write("mn\r\n");
            faults.awaitFailed(Call.FCNTL, 1);
            try (Peer client = process.client()) {
                assertEquals("VA 16 O1", client.ask(Rig.READ));
            }
        }
    }

    /** A balancer has to be ready within ten seconds of its start. */
    @Test
    void callsThatFailInTheRehearsalDoNotHoldUpTheStart() throws Exception {
        rig.allowance = 100_000;
        faults.fail(Call.ACCEPT, Faults.ENFILE, 3);
        faults.failSome(Call.READ, Faults.ETIMEDOUT, 30, 11);
        long begun = System.nanoTime();
        process.startAndServe();
        assertTrue(System.nanoTime() - begun < 10 * Clock.SECOND, "ready too late");
        faults.healAll();
        try (Peer client = process.client()) {
            assertEquals("VA 16 O1", client.ask(Rig.READ));
        }
    }

    /** With no descriptor to be had a call to accept fails although nobody waits. */
    @Test
    void aConnectionThatComesAfterAnAcceptFailedInVainHasItsWholeTime() throws Exception {
        process.startAndServe();
        faults.failAfter(1, Call.ACCEPT, Faults.ENFILE, 1, process.port);
        try (Peer first = process.client()) {
            assertEquals("MN", first.ask("mn"));
            faults.awaitFailed(Call.ACCEPT, 1);
            long failedAt = System.nanoTime();
            Waiting.until(() -> System.nanoTime() - failedAt > Clock.SECOND, "a second");
            try (Peer client = process.client()) {
                assertEquals("VA 16 O1", client.ask(SHORT_READ));
            }
        }
    }
}
