package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Guards against exhaustion of sockets or memory by many, idle, pipelining or slow clients: new requests are refused
 * or wait, and requests that were accepted still get their replies.
 */
class LimitsTest {
    private static final int MAX_SOCKETS = 64;
    /** How the balancer divides 64 sockets: 48 remain after the reserve, 21 of them for clients and 11 for hosts. */
    private static final int MAX_CLIENT_CONNECTIONS = 21;
    private static final int MAX_HOST_CONNECTIONS = 11;

    @Test
    void longestIdleClientIsEvictedForANewOne() throws Exception {
        List<LineSocket> clients = new ArrayList<>();
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving())) {
            fixture.maxSockets = MAX_SOCKETS;
            fixture.start();
            long idleSince = 0;
            for (int i = 0; i < MAX_CLIENT_CONNECTIONS; i++) {
                clients.add(fixture.connectClient());
                assertEquals("HD O2 c77", clients.get(i).request(BalancerFixture.NON_IDEMPOTENT_WRITE));
                idleSince = i == 0 ? System.nanoTime() : idleSince;
            }
            connectNewClientsUntilServed(fixture);
            assertTrue(System.nanoTime() - idleSince > 1_900 * Clock.MILLISECOND, "evicted before it counted as idle");
            assertEquals(null, clients.get(0).readLine(), "the longest idle connection is evicted");
            assertEquals("MN", clients.get(MAX_CLIENT_CONNECTIONS - 1).request("mn"));
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
    }

    /** Connections that had sent no valid request used to take up the limit, so that new clients were disconnected. */
    @Test
    void connectionsWithoutAValidRequestAreEvictedAtOnce() throws Exception {
        List<LineSocket> clients = new ArrayList<>();
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving())) {
            fixture.maxSockets = MAX_SOCKETS;
            fixture.start();
            for (int i = 0; i < MAX_CLIENT_CONNECTIONS; i++) {
                clients.add(fixture.connectClient());
                assertEquals("ERROR", clients.get(i).request("nonsense"));
            }
            for (int i = 0; i < MAX_CLIENT_CONNECTIONS; i++) {
                clients.add(fixture.connectClient());
                assertEquals("HD O2 c77",
                        clients.get(MAX_CLIENT_CONNECTIONS + i).request(BalancerFixture.NON_IDEMPOTENT_WRITE));
            }
            assertEquals(null, clients.get(0).readLine(), "evicted after its error reply");
            assertEquals("HD O2 c77", clients.get(MAX_CLIENT_CONNECTIONS).request(BalancerFixture.NON_IDEMPOTENT_WRITE),
                    "a connection with a valid request is kept");
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
    }

    /** Connects new clients one after the other until one is served; the ones before it must be refused. */
    private static void connectNewClientsUntilServed(BalancerFixture fixture) throws Exception {
        String reply = "";
        while (!reply.equals("HD O2 c77")) {
            try (LineSocket newClient = fixture.connectClient()) {
                reply = newClient.request(BalancerFixture.NON_IDEMPOTENT_WRITE);
            }
            Thread.sleep(10); // Short, but long enough not to use up the ephemeral ports.
            assertTrue(reply.equals("HD O2 c77") || reply.equals("SERVER_ERROR busy"), reply);
        }
    }

    @Test
    void clientsOverTheConnectionLimitAreRefusedAndOthersServed() throws Exception {
        List<LineSocket> clients = new ArrayList<>();
        boolean[] mayRespond = new boolean[1];
        Object lock = new Object();
        FakeHost host = FakeHost.responding(command -> {
            synchronized (lock) {
                while (!mayRespond[0]) {
                    try {
                        lock.wait();
                    } catch (InterruptedException e) {
                        return null;
                    }
                }
            }
            return FakeHost.responseTo(command);
        });
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.maxSockets = MAX_SOCKETS;
            fixture.start();
            for (int i = 0; i < MAX_CLIENT_CONNECTIONS; i++) {
                LineSocket client = fixture.connectClient();
                clients.add(client);
                client.write(BalancerFixture.NON_IDEMPOTENT_WRITE + "\r\n");
            }
            for (int i = 0; i < MAX_HOST_CONNECTIONS; i++) {
                assertTrue(host.awaitCommand() != null);
            }
            // The other requests find no free host connection and are refused at once, not counted against the hosts.
            ServingTest.awaitGauges(fixture, "open " + MAX_HOST_CONNECTIONS + " ");
            LineSocket overLimit = fixture.connectClient();
            clients.add(overLimit);
            assertEquals("SERVER_ERROR busy", overLimit.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
            synchronized (lock) {
                mayRespond[0] = true;
                lock.notifyAll();
            }
            ServingTest.awaitGauges(fixture, "open 0 ");
            connectNewClientsUntilServed(fixture);
            int servedCount = 0;
            for (int i = 0; i < MAX_CLIENT_CONNECTIONS; i++) {
                String reply = clients.get(i).readLine();
                servedCount += reply != null && reply.equals("HD O2 c77") ? 1 : 0;
            }
            assertEquals(MAX_HOST_CONNECTIONS, servedCount);
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
    }

    /** A client pipelines far more requests than a connection may have open: all get replies, in order. */
    @Test
    void pipelinedRequestsAreAllAnsweredWithBoundedConcurrency() throws Exception {
        int requests = 2_000;
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            commands.append("mg ").append(i).append(" v O").append(i).append(" Pc=read,t=acme,d=9000\r\n");
        }
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            Thread writer = new Thread(() -> {
                try {
                    client.write(commands.toString());
                } catch (IOException e) {
                    // The test fails below, as a reply is missing.
                }
            });
            writer.start();
            for (int i = 0; i < requests; i++) {
                String value = Integer.toString(i);
                assertEquals("VA " + value.length() + " O" + i, client.readLine());
                assertEquals(value, client.readData(value.length()));
            }
            writer.join();
            assertTrue(fixture.hosts.get(0).connectionCount.get() <= 64,
                    "at most as many host connections as one client connection may have open requests");
        }
    }

    /** A value for which there is no memory must neither end its connection nor leave its command without a reply. */
    @Test
    void valuesWithoutMemoryAreAnsweredAndLaterCommandsServed() throws Exception {
        String value = "v".repeat(60_000);
        FakeHost host = FakeHost.responding(command -> command.startsWith("mg long")
                ? FakeHost.valueResponse(command, value) : FakeHost.responseTo(command));
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.memoryBudgetBytes = value.length() / 2;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                assertEquals("SERVER_ERROR failed", client.request("mg long v O1 Pc=read,t=acme,d=5000"));
                assertEquals("SERVER_ERROR busy", client.request("ms 1 60000 O1 Pc=copy,t=acme,d=5000\r\n" + value));
                for (int i = 0; i < 3; i++) {
                    assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
                    assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
                    client.readData(16);
                }
                ServingTest.awaitGauges(fixture, " held-kb 0 ");
            }
        }
    }

    /**
     * Clients that send many commands, read nothing and leave must not use up the memory for good, and others must be
     * served meanwhile.
     */
    @Test
    void memoryOfClientsThatReadNothingIsBoundedAndFreedWhenTheyLeave() throws Exception {
        String value = "v".repeat(60_000);
        FakeHost host = FakeHost.responding(command -> FakeHost.valueResponse(command, value));
        List<LineSocket> clients = new ArrayList<>();
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.memoryBudgetBytes = 20L * value.length();
            fixture.start();
            for (int i = 0; i < 30; i++) {
                LineSocket client = fixture.connectClientWithSmallBuffer();
                clients.add(client);
                for (int j = 0; j < 100; j++) {
                    client.write("mg 1 v O" + j + " Pc=read,t=acme,d=9000\r\n");
                }
            }
            try (LineSocket client = fixture.connectClient()) {
                for (int i = 0; i < 20; i++) {
                    String reply = client.request(BalancerFixture.READ);
                    assertTrue(reply.equals("VA 60000 O1") || reply.equals("SERVER_ERROR failed"), reply);
                    if (reply.startsWith("VA")) {
                        assertEquals(value, client.readData(value.length()));
                    }
                }
            }
            for (LineSocket client : clients) {
                client.close();
            }
            ServingTest.awaitGauges(fixture, " held-kb 0 ");
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
    }

    /** Open requests were bounded in number only, by a limit of the site that may be beyond the memory. */
    @Test
    void openRequestsWithoutMemoryAreRefusedAndLaterOnesServed() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        FakeHost host = FakeHost.responding(command -> FakeHost.responseAfter(released, command));
        List<LineSocket> clients = new ArrayList<>();
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.memoryBudgetBytes = 10 * 1024;
            fixture.start();
            for (int i = 0; i < 20; i++) {
                clients.add(fixture.connectClient().write(BalancerFixture.NON_IDEMPOTENT_WRITE + "\r\n"));
            }
            assertEquals("SERVER_ERROR busy", clients.get(19).readLine());
            released.countDown();
            assertEquals("HD O2 c77", clients.get(0).readLine());
            ServingTest.awaitGauges(fixture, " held-kb 0 ");
            assertEquals("HD O2 c77", clients.get(19).request(BalancerFixture.NON_IDEMPOTENT_WRITE));
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
    }

    /** Clients that never read must not hold the memory of others for as long as they please. */
    @Test
    void clientThatReadsNothingIsDisconnectedWhileMemoryIsScarce() throws Exception {
        int writes = 10;
        String value = "v".repeat(60_000);
        CountDownLatch writesReleased = new CountDownLatch(1);
        FakeHost host = FakeHost.responding(command -> command.startsWith("mg")
                ? FakeHost.valueResponse(command, value) : FakeHost.responseAfter(writesReleased, command));
        List<LineSocket> holders = new ArrayList<>();
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.requestDeadlineMs = 60_000;
            fixture.memoryBudgetBytes = 16L * value.length();
            fixture.start();
            try (LineSocket client = fixture.connectClientWithSmallBuffer()) {
                for (int i = 0; i < writes; i++) {
                    holders.add(fixture.connectClient());
                    holders.get(i).write("ms 1 60000 O" + i + " Pc=copy,t=acme,d=60000\r\n" + value + "\r\n");
                    assertTrue(host.awaitCommand() != null);
                }
                for (int i = 0; i < 500; i++) {
                    client.write("mg 1 v O" + i + " Pc=read,t=acme,d=60000\r\n");
                }
                ServingTest.awaitGauges(fixture, "clients " + (writes + 1) + " ");
                ServingTest.awaitGauges(fixture, "clients " + writes + " ");
                writesReleased.countDown();
                for (int i = 0; i < writes; i++) {
                    assertEquals("HD O" + i + " c77", holders.get(i).readLine(), "a client that reads is kept");
                }
                ServingTest.awaitGauges(fixture, " held-kb 0 ");
            }
        } finally {
            for (LineSocket holder : holders) {
                holder.close();
            }
        }
    }

    /** Replies to a client that reads none must not accumulate without bound, and other clients must be served. */
    @Test
    void balancerStopsReadingFromAClientThatDoesNotReadReplies() throws Exception {
        String value = "v".repeat(60_000);
        FakeHost host = FakeHost.responding(command -> FakeHost.valueResponse(command, value));
        try (BalancerFixture fixture = new BalancerFixture(host).start();
                LineSocket slow = fixture.connectClientWithSmallBuffer();
                LineSocket client = fixture.connectClient()) {
            for (int i = 0; i < 500; i++) {
                slow.write("mg 1 v O" + i + " Pc=read,t=acme,d=9000\r\n");
            }
            for (int i = 0; i < 20; i++) {
                assertEquals("VA 60000 O1", client.request(BalancerFixture.READ));
                assertEquals(value, client.readData(value.length()));
            }
            assertTrue(host.receivedCommands.size() < 400,
                    "commands that the host received: " + host.receivedCommands.size());
            for (int i = 0; i < 500; i++) {
                assertEquals("VA 60000 O" + i, slow.readLine());
                slow.readData(60_000);
            }
        }
    }
}
