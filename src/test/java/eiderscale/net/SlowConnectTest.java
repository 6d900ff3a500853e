package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/**
 * Guards against attempts that are written too late. While a connection is being opened, its attempt may end, or the
 * drain grace of its host may end, after which the host must get no more requests.
 */
class SlowConnectTest {
    /** A host with a full accept queue: new connections stay in progress until {@link #acceptAfterQueued}. */
    static final class HostWithFullAcceptQueue implements AutoCloseable {
        private static final int CONNECT_TIMEOUT_MS = 700;
        private static final int MAX_QUEUED_SOCKETS = 50;
        final ServerSocket serverSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        final List<Socket> queuedSockets = new ArrayList<>();

        HostWithFullAcceptQueue() throws IOException {
            // Not a fixed number of connections: on a busy machine it may take more until the queue is full.
            while (queueConnection()) {
                assertTrue(queuedSockets.size() < MAX_QUEUED_SOCKETS, "the accept queue does not fill up");
            }
        }

        /** Opens one more connection; returns false if that timed out because the queue is full. */
        private boolean queueConnection() throws IOException {
            Socket socket = new Socket();
            try {
                socket.connect(serverSocket.getLocalSocketAddress(), CONNECT_TIMEOUT_MS);
                queuedSockets.add(socket);
                return true;
            } catch (SocketTimeoutException e) {
                socket.close();
                return false;
            }
        }

        /** This host as an entry of the host list; see {@link BalancerFixture#targetJson}. */
        String target() {
            return BalancerFixture.targetJson("s-full", "127.0.0.1:" + serverSocket.getLocalPort(), "Ready");
        }

        /** Closes the connections that fill the queue, and accepts the next one after them. */
        LineSocket acceptAfterQueued() throws IOException {
            serverSocket.setSoTimeout(LineSocket.TIMEOUT_MS);
            while (!queuedSockets.isEmpty()) {
                serverSocket.accept().close();
                queuedSockets.remove(0).close();
            }
            return new LineSocket(serverSocket.accept());
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : queuedSockets) {
                socket.close();
            }
            serverSocket.close();
        }
    }

    @Test
    void attemptAbandonedWhileConnectingIsNeverWritten() throws Exception {
        try (HostWithFullAcceptQueue host = new HostWithFullAcceptQueue();
                BalancerFixture fixture = new BalancerFixture()) {
            fixture.extraTargetsJson.add(host.target());
            fixture.connectTimeoutMs = LineSocket.TIMEOUT_MS;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                assertEquals("SERVER_ERROR busy 2000", client.request("ms 1 1 O1 Pc=copy,t=acme,d=100\r\nx"),
                        "it was never written, so the client may safely retry");
                try (LineSocket disconnecting = fixture.connectClient()) {
                    disconnecting.write("ms 1 1 O2 Pc=copy,t=acme,d=9000\r\nx\r\n");
                    ServingTest.awaitGauges(fixture, " links 2 ");
                }
                // Both connections open now, and the first command on each must be one that was sent later.
                try (LineSocket first = host.acceptAfterQueued();
                        LineSocket second = host.acceptAfterQueued()) {
                    ServingTest.awaitGauges(fixture, " idle 2");
                    client.write("ms 1 1 O3 Pc=copy,t=acme,d=9000\r\nx\r\nms 1 1 O4 Pc=copy,t=acme,d=9000\r\nx\r\n");
                    for (LineSocket connection : List.of(first, second)) {
                        String command = connection.readLine();
                        assertTrue(command.contains(" O3 ") || command.contains(" O4 "), command);
                    }
                }
            }
        }
    }

    @Test
    void connectTimeoutReleasesTheConnection() throws Exception {
        try (HostWithFullAcceptQueue host = new HostWithFullAcceptQueue();
                BalancerFixture fixture = new BalancerFixture()) {
            fixture.extraTargetsJson.add(host.target());
            fixture.connectTimeoutMs = 50;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                assertEquals("SERVER_ERROR busy", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
                ServingTest.awaitGauges(fixture, " links 0 ");
            }
        }
    }

    @Test
    void attemptIsNotWrittenWhenItsConnectionOpensAfterTheDrainGrace() throws Exception {
        try (HostWithFullAcceptQueue host = new HostWithFullAcceptQueue();
                BalancerFixture fixture = new BalancerFixture()) {
            fixture.extraTargetsJson.add(host.target());
            fixture.connectTimeoutMs = LineSocket.TIMEOUT_MS;
            fixture.drainGraceMs = 0;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write(BalancerFixture.NON_IDEMPOTENT_WRITE + "\r\n");
                ServingTest.awaitGauges(fixture, " links 1 ");
                HostList drainingList = HostList.parse(Json.parse(("{\"rev\":8,\"all\":false,\"targets\":["
                        + host.target().replace("Ready", "Terminating") + "]}").getBytes()),
                        fixture.siteSettings());
                fixture.eventLoop.submit(() -> fixture.node.onHostList(Api.ListMode.DELTA, drainingList.members()))
                        .get();
                try (LineSocket connection = host.acceptAfterQueued()) {
                    assertEquals("SERVER_ERROR busy", client.readLine());
                    assertEquals(null, connection.readLine(), "closed without a command");
                }
            }
        }
    }

    /**
     * Reading the host list and writing an attempt may each be delayed by 150 ms, so that no attempt may start in the
     * last 300 ms of the drain grace.
     */
    @Test
    void noAttemptStartsInTheMarginBeforeTheDrainGraceEnds() throws Exception {
        try (FakeHost host = FakeHost.serving(); BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.drainGraceMs = 1_000;
            AtomicReference<Api.Server> listedServer = new AtomicReference<>();
            fixture.moduleFactory = (settings, seed, actions) -> new NoOpModule(actions) {
                @Override
                public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                    listedServer.set(servers.get(0));
                }

                @Override
                public void onRequest(long now, Api.Request request) {
                    actions.send(request.id(), listedServer.get().id(), request.deadline());
                }

                @Override
                public void onAttemptOutcome(long now, Api.AttemptOutcome outcome) {
                    if (!outcome.isRequestClosed()) {
                        actions.refuse(outcome.requestId(), 0);
                    }
                }
            };
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
                HostList drainingList = HostList.parse(Json.parse(("{\"rev\":8,\"all\":false,\"targets\":["
                        + BalancerFixture.targetJson("s-0", host.endpoint(), "Terminating") + "]}").getBytes()),
                        fixture.siteSettings());
                fixture.eventLoop.submit(() -> fixture.node.onHostList(Api.ListMode.DELTA, drainingList.members()))
                        .get();
                long drainStartedAt = System.nanoTime();
                Await.until(() -> System.nanoTime() - drainStartedAt > 720 * Clock.MILLISECOND,
                        "all but the margin of the drain grace to pass");
                assertEquals("SERVER_ERROR busy", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
            }
        }
    }
}
