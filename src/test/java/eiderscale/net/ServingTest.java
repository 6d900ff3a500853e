package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against wrong, missing or repeated replies to ordinary requests, and against host connections that are not
 * reused, kept or closed when they should be.
 */
class ServingTest {
    /** The timeout that a forwarded command states to the host ({@code d=}); -1 if there is none. */
    static int statedTimeoutMs(String command) {
        String parameters = command.substring(command.indexOf(" P") + 2).split(" ")[0];
        for (String parameter : parameters.split(",")) {
            if (parameter.startsWith("d=")) {
                return Integer.parseInt(parameter.substring(2));
            }
        }
        return -1;
    }

    @Test
    void readReplyHasTheHostsValueWithoutBalancerFlags() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("MN", client.request("mn"));
            assertEquals("VA 16 O1", client.request(BalancerFixture.READ));
            assertEquals("7f3a9c21e0b4d655", client.readData(16));
            String command = fixture.hosts.get(0).awaitCommand();
            assertTrue(command.startsWith("mg 7f3a9c21e0b4d655 v O1 Pc=read,t=acme,d="), command);
            assertTrue(statedTimeoutMs(command) < 5000 && statedTimeoutMs(command) > 0,
                    "forwarded with the remaining time: " + command);
        }
    }

    @Test
    void writeIsForwardedWithValueAndDedupKeyAndReturnsTheReceipt() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("HD O3 c77", client.request(BalancerFixture.DEDUPLICATED_WRITE));
            String command = fixture.hosts.get(0).awaitCommand();
            assertTrue(command.startsWith("ms 7f3a9c21e0b4d655 5 O3 Pc=put,t=acme,d="), command);
            assertTrue(command.endsWith(",k=5c0f6e1a data=hello"), command);
        }
    }

    @Test
    void idleConnectionIsReused() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            for (int i = 0; i < 5; i++) {
                assertEquals("HD O3 c77", client.request(BalancerFixture.DEDUPLICATED_WRITE));
            }
            assertEquals(1, fixture.hosts.get(0).connectionCount.get());
        }
    }

    @Test
    void pipelinedRepliesComeInCommandOrder() throws Exception {
        Object lock = new Object();
        boolean[] mayRespond = new boolean[1];
        FakeHost host = FakeHost.responding(command -> {
            if (command.contains(" Oslow ")) {
                synchronized (lock) {
                    while (!mayRespond[0]) {
                        try {
                            lock.wait();
                        } catch (InterruptedException e) {
                            return null;
                        }
                    }
                }
            }
            return FakeHost.valueResponse(command, "x");
        });
        try (BalancerFixture fixture = new BalancerFixture(host).start();
                LineSocket client = fixture.connectClient()) {
            client.write("mg 1 v Oslow Pc=read,t=acme,d=9000\r\nnonsense\r\nmg 2 v Oquick Pc=read,t=acme,d=9000\r\n");
            host.awaitCommand();
            host.awaitCommand();
            synchronized (lock) {
                mayRespond[0] = true;
                lock.notifyAll();
            }
            assertEquals("VA 1 Oslow", client.readLine());
            client.readData(1);
            assertEquals("ERROR", client.readLine());
            assertEquals("VA 1 Oquick", client.readLine());
        }
    }

    @Test
    void requestIsRefusedWhenTheOnlyHostIsBusy() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(
                FakeHost.responding(command -> "SERVER_ERROR busy Lutil=1.0\r\n")).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("SERVER_ERROR busy", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
        }
    }

    @Test
    void nonIdempotentWriteThatMayHaveRunFailsWithoutRetry() throws Exception {
        FakeHost[] host = new FakeHost[1];
        host[0] = new FakeHost(connection -> {
            host[0].readCommand(connection);
            connection.reset();
        });
        try (BalancerFixture fixture = new BalancerFixture(host).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("SERVER_ERROR failed", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
            assertEquals(1, host[0].receivedCommands.size(), "not sent again");
        }
    }

    @Test
    void nonIdempotentWriteThatWasNeverSentIsRefused() throws Exception {
        FakeHost stoppedHost = FakeHost.serving();
        try (BalancerFixture fixture = new BalancerFixture(stoppedHost)) {
            fixture.start();
            stoppedHost.stopListening();
            try (LineSocket client = fixture.connectClient()) {
                assertEquals("SERVER_ERROR busy", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
            }
        }
    }

    @Test
    void readIsRetriedAtAnotherHostAfterAReset() throws Exception {
        FakeHost.ConnectionScript resetAfterCommand = connection -> {
            connection.readLine();
            connection.reset();
        };
        try (BalancerFixture fixture = new BalancerFixture(new FakeHost(resetAfterCommand), FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            for (int i = 0; i < 8; i++) {
                assertEquals("VA 2 O" + i, client.request("mg 1" + i + " v O" + i + " Pc=read,t=acme,d=5000"));
                client.readData(2);
            }
        }
    }

    @Test
    void requestToAnUnresponsiveHostIsAnsweredInTimeAndReadsGetARetryAfter() throws Exception {
        FakeHost host = FakeHost.responding(command -> null);
        try (BalancerFixture fixture = new BalancerFixture(host).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("SERVER_ERROR busy 2000", client.request("mg 1 v O1 Pc=read,t=acme,d=150"));
            assertEquals("SERVER_ERROR failed", client.request("ms 1 1 O2 Pc=copy,t=acme,d=150\r\nx"));
            assertEquals("end", host.awaitConnectionClosed(), "the connection of an abandoned attempt is closed");
            assertEquals("end", host.awaitConnectionClosed());
        }
    }

    @Test
    void clientDisconnectCancelsItsAttempts() throws Exception {
        FakeHost host = FakeHost.responding(command -> null);
        try (BalancerFixture fixture = new BalancerFixture(host).start();
                LineSocket client = fixture.connectClient()) {
            client.write(BalancerFixture.READ + "\r\n");
            host.awaitCommand();
            client.disconnect();
            assertEquals("end", host.awaitConnectionClosed());
        }
    }

    @Test
    void invalidHostResponseEndsOnlyThatAttempt() throws Exception {
        String[] invalidResponses = {"VA 1 Oother\r\nx\r\n", "HD O1 c9\r\n", "VA x O1\r\n", "nonsense\r\n", "\r\n",
            "VA 99999999 O1\r\n", "VA 1 O1\r\nlonger than one\r\n", "MN\r\n", "a".repeat(5000)};
        int[] index = new int[1];
        try (BalancerFixture fixture = new BalancerFixture(
                FakeHost.responding(command -> invalidResponses[index[0]])).start();
                LineSocket client = fixture.connectClient()) {
            for (index[0] = 0; index[0] < invalidResponses.length; index[0]++) {
                assertEquals("SERVER_ERROR busy", client.request(BalancerFixture.READ), invalidResponses[index[0]]);
            }
            index[0] = 1;
            assertEquals("SERVER_ERROR failed", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE),
                    "the write may have run");
        }
    }

    @Test
    void connectionClosedByTheHostIsNotReused() throws Exception {
        FakeHost[] host = new FakeHost[1];
        host[0] = new FakeHost(
                connection -> connection.write(FakeHost.responseTo(host[0].readCommand(connection))));
        try (BalancerFixture fixture = new BalancerFixture(host).start();
                LineSocket client = fixture.connectClient()) {
            for (int i = 1; i <= 3; i++) {
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
                awaitGauges(fixture, " links 0 ");
                assertEquals(i, host[0].connectionCount.get());
            }
        }
    }

    /** Waits until the balancer's gauges contain this text. */
    static void awaitGauges(BalancerFixture fixture, String text) throws Exception {
        long deadline = System.nanoTime() + LineSocket.TIMEOUT_MS * Clock.MILLISECOND;
        while (!fixture.eventLoop.submit(fixture.node::gauges).get().contains(text) && System.nanoTime() < deadline) {
            Thread.sleep(2);
        }
        assertTrue(fixture.eventLoop.submit(fixture.node::gauges).get().contains(text),
                fixture.eventLoop.submit(fixture.node::gauges).get());
    }

    @Test
    void idleConnectionsAreClosedBeforeTheHostClosesThem() throws Exception {
        FakeHost host = FakeHost.serving();
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.hostIdleTimeoutMs = 2;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
                assertEquals("end", host.awaitConnectionClosed());
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
            }
        }
    }

    /**
     * A connection was closed after 6 s idle, although the host would have kept it for 10 s. With 6 to 12 s between the
     * requests to a host, nearly every one then needed a new connection.
     */
    @Test
    void idleConnectionsAreKeptForMostOfTheHostsIdleTimeout() throws Exception {
        FakeHost host = FakeHost.serving();
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.hostIdleTimeoutMs = 4_000;
            fixture.connectTimeoutMs = 100;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
                long idleSince = System.nanoTime();
                assertEquals("end", host.awaitConnectionClosed());
                assertTrue(System.nanoTime() - idleSince > 3_800 * Clock.MILLISECOND,
                        "the connection was closed too soon");
            }
        }
    }

    @Test
    void longestValueIsReturnedComplete() throws Exception {
        String value = "v".repeat(MetaFrame.MAX_VALUE_BYTES);
        try (BalancerFixture fixture = new BalancerFixture(
                FakeHost.responding(command -> FakeHost.valueResponse(command, value))).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("VA 65536 O1", client.request(BalancerFixture.READ));
            assertEquals(value, client.readData(value.length()));
        }
    }

    @Test
    void requestsBeyondMaxOpenAreRefused() throws Exception {
        FakeHost host = FakeHost.responding(command -> null);
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.maxOpenRequests = 1;
            fixture.start();
            try (LineSocket first = fixture.connectClient(); LineSocket second = fixture.connectClient()) {
                first.write(BalancerFixture.READ + "\r\n");
                host.awaitCommand();
                assertEquals("SERVER_ERROR busy", second.request(BalancerFixture.READ));
            }
        }
    }

    @Test
    void keyNeedNotBeHexadecimal() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("VA 11 O1", client.request("mg member:2026 v O1 Pc=read,t=acme,d=5000"));
            assertEquals("member:2026", client.readData(11));
            assertNull(fixture.hosts.get(0).closedConnections.poll());
        }
    }
}
