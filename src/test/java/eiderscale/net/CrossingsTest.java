package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api;
import eiderscale.net.SlowConnectTest.HostWithFullAcceptQueue;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Tests races between two events: a client's disconnect and its commands, a stop and open requests, a second response
 * and the next request, a new host list and connections. Clients and hosts withhold, split or batch what they send so
 * that each order of the events is forced.
 */
class CrossingsTest {
    /** A write of a request class that must not run twice, with its value; opaque and timeout are filled in. */
    private static final String NON_IDEMPOTENT_WRITE_FORMAT = "ms 1 1 O%s Pc=copy,t=acme,d=%d\r\nx\r\n";
    private static final int LONG_TIMEOUT_MS = 60_000;
    /** This many commands of some 40 bytes are several times the input that is buffered per connection. */
    private static final int OVERSIZED_PIPELINE_LENGTH = 20_000;

    /** A single write with this opaque. */
    private static String nonIdempotentWrites(String opaque, int timeoutMs) {
        return String.format(NON_IDEMPOTENT_WRITE_FORMAT, opaque, timeoutMs);
    }

    /** Applies a change of the host list that concerns these hosts only. */
    private static void applyListDelta(BalancerFixture fixture, String... targetsJson) throws Exception {
        String json = "{\"rev\":8,\"all\":false,\"targets\":[" + String.join(",", targetsJson) + "]}";
        HostList hostList = HostList.parse(Json.parse(json.getBytes()), fixture.siteSettings());
        fixture.eventLoop.submit(() -> fixture.node.onHostList(Api.ListMode.DELTA, hostList.members())).get();
    }

    // The end of a client connection.

    /**
     * Guards against closing a connection above the connection limit after its first refusal while another command,
     * received with the first, has no reply yet.
     */
    @Test
    void pipelinedCommandsOnAnOverLimitConnectionAreAllRefused() throws Exception {
        List<LineSocket> clients = new ArrayList<>();
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.responding(command -> null))) {
            fixture.maxSockets = 64;
            fixture.start();
            for (int i = 0; i < 21; i++) {
                clients.add(fixture.connectClient());
                assertEquals("MN", clients.get(i).request("mn"));
            }
            try (LineSocket overLimit = fixture.connectClient()) {
                overLimit.write(nonIdempotentWrites("1", 9_000) + nonIdempotentWrites("2", 9_000));
                assertEquals("SERVER_ERROR busy", overLimit.readLine());
                assertEquals("SERVER_ERROR busy", overLimit.readLine());
                assertNull(overLimit.readLine());
            }
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
    }

    /** Closing a socket with unread input sends a reset, which can destroy a reply that is still in transit. */
    @Test
    void inputAfterOurFinDoesNotDestroyTheReplyInTransit() throws Exception {
        String value = "v".repeat(MetaFrame.MAX_VALUE_BYTES);
        try (BalancerFixture fixture = new BalancerFixture(
                FakeHost.responding(command -> FakeHost.valueResponse(command, value))).start();
                LineSocket client = fixture.connectClientWithSmallBuffer()) {
            client.write(BalancerFixture.READ + "\r\nquit\r\n");
            fixture.hosts.get(0).awaitCommand();
            ServingTest.awaitGauges(fixture, "open 0 ");
            for (int i = 0; i < 20; i++) {
                client.write("mg crossing\r\n");
            }
            assertEquals("VA 65536 O1", client.readLine());
            assertEquals(value, client.readData(value.length()));
            assertNull(client.readLine());
        }
    }

    /** Guards against no longer reading a connection with 64 open requests, which leaves a disconnect undetected. */
    @Test
    void aDisconnectIsDetectedBehindAFullPipeline() throws Exception {
        assertDisconnectDetectedBehind(100);
    }

    /**
     * Guards against no longer reading a connection with more than 32 KiB of buffered input: its open requests would
     * continue although the client has disconnected.
     */
    @Test
    void aDisconnectIsDetectedBehindMoreInputThanIsBuffered() throws Exception {
        assertDisconnectDetectedBehind(OVERSIZED_PIPELINE_LENGTH);
    }

    private static void assertDisconnectDetectedBehind(int commands) throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.responding(command -> null))) {
            fixture.requestDeadlineMs = LONG_TIMEOUT_MS;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write(nonIdempotentWrites(commands, LONG_TIMEOUT_MS));
                ServingTest.awaitGauges(fixture, "open 64 ");
            }
            ServingTest.awaitGauges(fixture, "open 0 ");
            ServingTest.awaitGauges(fixture, "clients 0 ");
            assertTrue(fixture.hosts.get(0).receivedCommands.size() <= 64, "buffered commands must not be sent");
        }
    }

    /**
     * The client sends far more commands than may be open or buffered. Guards against replies in another order than the
     * commands, and against closing the connection.
     */
    @Test
    void commandsBeyondTheBufferLimitAreRefusedInOrder() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeHost host = FakeHost.responding(command -> FakeHost.responseAfter(release, command));
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.requestDeadlineMs = LONG_TIMEOUT_MS;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write(nonIdempotentWrites(OVERSIZED_PIPELINE_LENGTH, LONG_TIMEOUT_MS));
                while (rejectedCommandCount(fixture) == 0) {
                    Thread.onSpinWait();
                }
                release.countDown();
                int served = 0;
                int refused = 0;
                for (int i = 0; i < OVERSIZED_PIPELINE_LENGTH; i++) {
                    String reply = client.readLine();
                    if (reply.equals("SERVER_ERROR busy")) {
                        refused++;
                    } else {
                        assertTrue(Integer.parseInt(reply.substring(4, reply.indexOf(' ', 4))) == i,
                                "the reply to command " + i + ": " + reply);
                        served++;
                    }
                }
                assertTrue(served >= 64 && refused > 0, served + " served, " + refused + " refused");
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE),
                        "the connection still works");
            }
        }
    }

    /** The number of commands rejected so far because the limits on buffered input were exceeded. */
    private static long rejectedCommandCount(BalancerFixture fixture) throws Exception {
        String gauges = fixture.eventLoop.submit(fixture.node::gauges).get();
        return Long.parseLong(gauges.replaceAll(".* shed (\\d+) .*", "$1"));
    }

    /** {@code count} writes, whose opaques are the numbers from 0. */
    private static String nonIdempotentWrites(int count, int timeoutMs) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < count; i++) {
            commands.append(nonIdempotentWrites(Integer.toString(i), timeoutMs));
        }
        return commands.toString();
    }

    /**
     * A delayed event loop reads a command together with the end of the stream behind it. Guards against sending an
     * attempt before the end of the stream is seen.
     */
    @Test
    void noAttemptIsSentIfTheEndOfStreamIsReadWithTheCommand() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start()) {
            CountDownLatch resumeLoop = new CountDownLatch(1);
            try (LineSocket client = fixture.connectClient(); LineSocket other = fixture.connectClient()) {
                assertEquals("MN", client.request("mn"));
                assertEquals("MN", other.request("mn"));
                fixture.eventLoop.execute(() -> {
                    try {
                        resumeLoop.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                client.write(nonIdempotentWrites("gone", 5_000)).disconnect();
                resumeLoop.countDown();
                assertEquals("HD O2 c77", other.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
            }
            assertTrue(fixture.hosts.get(0).awaitCommand().contains(" O2 "),
                    "the first command that the host received");
            assertTrue(fixture.hosts.get(0).receivedCommands.isEmpty(), "the host must receive no other command");
        }
    }

    /** Of 100 commands 64 may be open: the others, and the "quit" behind them, must be processed later. */
    @Test
    void bufferedCommandsAreServedOnceEarlierOnesComplete() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeHost host = FakeHost.responding(command -> FakeHost.responseAfter(release, command));
        try (BalancerFixture fixture = new BalancerFixture(host).start(); LineSocket client = fixture.connectClient()) {
            client.write(nonIdempotentWrites(100, 9_000) + "quit\r\n");
            ServingTest.awaitGauges(fixture, "open 64 ");
            release.countDown();
            for (int i = 0; i < 100; i++) {
                assertEquals("HD O" + i + " c77", client.readLine());
            }
            assertNull(client.readLine());
        }
    }

    // Stopping the balancer.

    /**
     * A stop waits for open requests until the longest timeout, but at most 3 s, as the process is killed soon after.
     * Then the balancer has to send the replies to them itself.
     */
    @Test
    void aStopAnswersOpenRequestsAndRefusesNewOnes() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.responding(command -> null))) {
            fixture.requestDeadlineMs = LONG_TIMEOUT_MS;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write(nonIdempotentWrites("1", LONG_TIMEOUT_MS));
                fixture.hosts.get(0).awaitCommand();
                Future<?> stopped = fixture.eventLoop.submit(fixture.node::stop).get();
                awaitConnectionRefused(fixture);
                client.write(nonIdempotentWrites("2", LONG_TIMEOUT_MS) + nonIdempotentWrites("3", LONG_TIMEOUT_MS));
                assertEquals("SERVER_ERROR failed", client.readLine(), "the request may have run");
                assertEquals("SERVER_ERROR busy", client.readLine());
                assertEquals("SERVER_ERROR busy", client.readLine());
                assertNull(client.readLine());
                client.disconnect();
                assertTrue(stopped.await(LineSocket.TIMEOUT_MS));
                assertEquals(0, fixture.hosts.get(0).receivedCommands.size(), "no other command may be sent");
            }
        }
    }

    /** Replies are sent in order, so many can become free at once, when the first one does, and end the connection. */
    @Test
    void aStopServesCommandsWhoseRepliesWaitForAnEarlierOne() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeHost host = FakeHost.responding(command -> command.contains(" O0 ")
                ? FakeHost.responseAfter(release, command) : FakeHost.responseTo(command));
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.requestDeadlineMs = LONG_TIMEOUT_MS;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write(nonIdempotentWrites(100, LONG_TIMEOUT_MS));
                for (int i = 0; i < 100; i++) {
                    assertTrue(host.awaitCommand() != null);
                }
                ServingTest.awaitGauges(fixture, "open 1 ");
                fixture.eventLoop.submit(fixture.node::stop).get();
                awaitConnectionRefused(fixture);
                release.countDown();
                for (int i = 0; i < 100; i++) {
                    assertEquals("HD O" + i + " c77", client.readLine());
                }
                assertNull(client.readLine());
            }
        }
    }

    /** The commands buffered behind 64 open ones must be refused before the connection is closed. */
    @Test
    void aStopRefusesCommandsBufferedBehindOpenRequests() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeHost host = FakeHost.responding(command -> FakeHost.responseAfter(release, command));
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.requestDeadlineMs = LONG_TIMEOUT_MS;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write(nonIdempotentWrites(100, LONG_TIMEOUT_MS));
                ServingTest.awaitGauges(fixture, "open 64 ");
                fixture.eventLoop.submit(fixture.node::stop).get();
                awaitConnectionRefused(fixture);
                release.countDown();
                for (int i = 0; i < 64; i++) {
                    assertEquals("HD O" + i + " c77", client.readLine());
                }
                for (int i = 64; i < 100; i++) {
                    assertEquals("SERVER_ERROR busy", client.readLine());
                }
                assertNull(client.readLine());
            }
        }
    }

    /** Waits until the balancer no longer listens. */
    private static void awaitConnectionRefused(BalancerFixture fixture) throws InterruptedException {
        long deadline = System.nanoTime() + LineSocket.TIMEOUT_MS * Clock.MILLISECOND;
        while (System.nanoTime() < deadline) {
            try {
                fixture.connectClient().close();
                Thread.sleep(2);
            } catch (IOException e) {
                return;
            }
        }
        throw new AssertionError("the balancer still accepts connections");
    }

    // Unsolicited responses of a cache host.

    /** A host that runs the n-th script on its n-th connection, and the last one on all further connections. */
    private static FakeHost scriptedHost(FakeHost.ConnectionScript... scripts) throws IOException {
        FakeHost[] host = new FakeHost[1];
        host[0] = new FakeHost(connection -> {
            int index = host[0].connectionCount.get() - 1;
            scripts[Math.min(index, scripts.length - 1)].run(connection);
            connection.awaitPeerClose();
            host[0].closedConnections.add("end");
        });
        return host[0];
    }

    /** Serves commands until the connection ends. */
    private static void serveAllCommands(LineSocket connection) throws IOException {
        for (String line = connection.readLine(); line != null; line = connection.readLine()) {
            if (line.startsWith("ms ")) {
                connection.readData(1);
            }
            connection.write(FakeHost.responseTo(line));
        }
    }

    /** Reads a command with its data block, and returns its first line. */
    private static String readCommand(LineSocket connection) throws IOException {
        String line = connection.readLine();
        if (line != null && line.startsWith("ms ")) {
            connection.readData(1);
        }
        return line;
    }

    /**
     * The first response makes the module send another request on the same connection. Guards against matching a second
     * response in the same read, "busy", to that request, which would count as never run.
     */
    @Test
    void aSecondResponseInTheSameReadIsNotMatchedToAnotherRequest() throws Exception {
        FakeHost host = scriptedHost(connection -> {
            connection.write(FakeHost.responseTo(readCommand(connection)) + "SERVER_ERROR busy\r\n");
            serveAllCommands(connection);
        }, CrossingsTest::serveAllCommands);
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.moduleFactory = (settings, seed, actions) -> new NoOpModule(actions) {
                private final List<Long> requestIds = new ArrayList<>();
                private long serverId;

                @Override
                public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                    serverId = servers.isEmpty() ? serverId : servers.get(0).id();
                }

                @Override
                public void onRequest(long now, Api.Request request) {
                    requestIds.add(request.id());
                    if (requestIds.size() == 2) {
                        actions.send(requestIds.get(0), serverId, 0);
                    }
                }

                @Override
                public void onAttemptOutcome(long now, Api.AttemptOutcome outcome) {
                    if (outcome.reason() != Api.Reason.OK) {
                        actions.fail(outcome.requestId());
                    } else if (outcome.requestId() == requestIds.get(0)) {
                        actions.send(requestIds.get(1), serverId, 0);
                    }
                }
            };
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write("mg 1 v O1 Pc=read,t=acme,d=9000\r\nmg 2 v O2 Pc=read,t=acme,d=9000\r\n");
                assertEquals("VA 1 O1", client.readLine());
                client.readData(1);
                assertEquals("VA 1 O2", client.readLine());
            }
        }
    }

    /**
     * A "busy" response carries no opaque. Guards against matching a late second one to a write that has run, which
     * would tell the client that the write has not run and may be repeated.
     */
    @Test
    void aLateSecondResponseIsNotMatchedToANonIdempotentWrite() throws Exception {
        FakeHost host = scriptedHost(connection -> {
            connection.write(FakeHost.responseTo(readCommand(connection)));
            readCommand(connection);
            connection.write("SERVER_ERROR busy\r\n");
        }, CrossingsTest::serveAllCommands);
        try (BalancerFixture fixture = new BalancerFixture(host).start(); LineSocket client = fixture.connectClient()) {
            client.write(nonIdempotentWrites("1", 9_000));
            assertEquals("HD O1 c77", client.readLine());
            client.write(nonIdempotentWrites("2", 9_000));
            assertEquals("HD O2 c77", client.readLine(),
                    "the write must be sent on a connection with no recent response");
        }
    }

    /** The rest of the partial response would be taken for the response to the next request on the connection. */
    @Test
    void aPartialSecondResponseClosesTheConnection() throws Exception {
        FakeHost host = scriptedHost(connection -> {
            connection.write(FakeHost.responseTo(readCommand(connection)) + "VA 5 ");
            serveAllCommands(connection);
        }, CrossingsTest::serveAllCommands);
        try (BalancerFixture fixture = new BalancerFixture(host).start(); LineSocket client = fixture.connectClient()) {
            assertEquals("HD O3 c77",
                    client.request(BalancerFixture.DEDUPLICATED_WRITE.replace(" 5 ", " 1 ").replace("hello", "h")));
            assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
            client.readData(16);
            assertEquals(2, host.connectionCount.get());
        }
    }

    /** The same if the partial response arrives only when the connection is idle. */
    @Test
    void aLatePartialSecondResponseClosesTheIdleConnection() throws Exception {
        CountDownLatch idleLatch = new CountDownLatch(1);
        FakeHost host = scriptedHost(connection -> {
            connection.write(FakeHost.responseTo(readCommand(connection)));
            try {
                idleLatch.await();
            } catch (InterruptedException e) {
                return;
            }
            connection.write("VA 5 ");
        });
        try (BalancerFixture fixture = new BalancerFixture(host).start(); LineSocket client = fixture.connectClient()) {
            assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
            ServingTest.awaitGauges(fixture, " idle 1");
            idleLatch.countDown();
            ServingTest.awaitGauges(fixture, " links 0 ");
        }
    }

    // Changes of the host list while connections are being opened or idle.

    /**
     * The host's address changes while a connection to the old one is being opened. Guards against sending the waiting
     * request to the old address, which may belong to another process by then.
     */
    @Test
    void aConnectionToAHostsFormerAddressIsNotUsed() throws Exception {
        try (HostWithFullAcceptQueue oldHost = new HostWithFullAcceptQueue();
                FakeHost newHost = FakeHost.serving();
                BalancerFixture fixture = new BalancerFixture()) {
            fixture.extraTargetsJson.add(oldHost.target());
            fixture.connectTimeoutMs = LineSocket.TIMEOUT_MS;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write(nonIdempotentWrites("1", 15_000));
                ServingTest.awaitGauges(fixture, " links 1 ");
                applyListDelta(fixture, BalancerFixture.targetJson("s-full", newHost.endpoint(), "Ready"));
                try (LineSocket connection = oldHost.acceptAfterQueued()) {
                    assertNull(connection.readLine(), "the connection must be closed without a command");
                }
                assertEquals("SERVER_ERROR busy", client.readLine());
                client.write(nonIdempotentWrites("2", 9_000));
                assertEquals("HD O2 c77", client.readLine());
            }
        }
    }

    /** The process at the other end no longer exists: a write on such a connection would get a reset. */
    @Test
    void idleConnectionsToARestartedHostAreClosed() throws Exception {
        FakeHost host = FakeHost.serving();
        try (BalancerFixture fixture = new BalancerFixture(host).start(); LineSocket client = fixture.connectClient()) {
            assertEquals("HD O3 c77", client.request(BalancerFixture.DEDUPLICATED_WRITE));
            ServingTest.awaitGauges(fixture, " idle 1");
            applyListDelta(fixture, BalancerFixture.targetJson("s-0", host.endpoint(), "Ready")
                    .replace("\"boot_ms\":0", "\"boot_ms\":5"));
            assertEquals("end", host.awaitConnectionClosed());
        }
    }

    // Requests that complete before they are written to a cache host.

    /**
     * The client disconnects while the connection to the host is being opened. Cancelling is forbidden for requests
     * that may have run; this one cannot have run and must not be sent any more.
     */
    @Test
    void anUnwrittenRequestOfADisconnectedClientIsNotSentThoughCancellingIsForbidden() throws Exception {
        try (HostWithFullAcceptQueue host = new HostWithFullAcceptQueue();
                BalancerFixture fixture = new BalancerFixture()) {
            fixture.extraTargetsJson.add(host.target());
            fixture.connectTimeoutMs = LONG_TIMEOUT_MS;
            fixture.mayCancelAttempts = false;
            fixture.requestDeadlineMs = LONG_TIMEOUT_MS;
            fixture.start();
            try (LineSocket disconnecting = fixture.connectClient()) {
                disconnecting.write(nonIdempotentWrites("left", LONG_TIMEOUT_MS));
                ServingTest.awaitGauges(fixture, " links 1 ");
            }
            ServingTest.awaitGauges(fixture, "open 0 ledger 0 ");
            try (LineSocket connection = host.acceptAfterQueued(); LineSocket client = fixture.connectClient()) {
                ServingTest.awaitGauges(fixture, " idle 1");
                client.write(nonIdempotentWrites("stays", 9_000));
                assertTrue(connection.readLine().contains(" Ostays "), "the first command on the connection");
            }
        }
    }

    /**
     * One of two attempts gets its response while the connection for the other is being opened. The other cannot have
     * run and must not be sent any more, even where cancelling is forbidden.
     */
    @Test
    void anUnwrittenHedgedRequestIsNotSentThoughCancellingIsForbidden() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeHost slowHost = FakeHost.responding(command -> FakeHost.responseAfter(release, command));
        try (HostWithFullAcceptQueue fullHost = new HostWithFullAcceptQueue();
                BalancerFixture fixture = new BalancerFixture(slowHost)) {
            fixture.extraTargetsJson.add(fullHost.target());
            fixture.connectTimeoutMs = LONG_TIMEOUT_MS;
            fixture.mayCancelAttempts = false;
            fixture.requestDeadlineMs = LONG_TIMEOUT_MS;
            fixture.moduleFactory = (settings, seed, actions) -> new NoOpModule(actions) {
                private List<Api.Server> knownServers = List.of();

                @Override
                public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                    knownServers = servers.isEmpty() ? knownServers : servers;
                }

                @Override
                public void onRequest(long now, Api.Request request) {
                    knownServers.forEach(server -> actions.send(request.id(), server.id(), 0));
                }
            };
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write(BalancerFixture.READ.replace("d=5000", "d=" + LONG_TIMEOUT_MS) + "\r\n");
                ServingTest.awaitGauges(fixture, " links 2 ");
                release.countDown();
                assertEquals("VA 16 O1", client.readLine());
                ServingTest.awaitGauges(fixture, "open 0 ledger 0 ");
                try (LineSocket connection = fullHost.acceptAfterQueued()) {
                    ServingTest.awaitGauges(fixture, " idle 2");
                    client.write("mg 2 v Onext Pc=read,t=acme,d=9000\r\n");
                    assertTrue(connection.readLine().contains(" Onext "), "the first command on the connection");
                }
            }
        }
    }

    /** Guards against other exceptions: a ConfigException has a message for operators, which is logged in one line. */
    @Test
    void aConfigurationThatIsNotAnObjectIsReportedAsAConfigException() {
        for (String text : List.of("null", "[]", "3", "")) {
            assertThrows(ConfigException.class, () -> Json.parse(text.getBytes()), text);
        }
    }
}
