package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api;
import eiderscale.Api.Reason;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * Guards against faults between the decision module and the sockets: actions carried out in the wrong order, attempts
 * with no outcome, with several or with the wrong one, events delivered while the module is handling another, and
 * requests left without a reply when the module throws or does nothing.
 */
class ModuleIntegrationTest {
    private static final long MILLISECOND = Clock.MILLISECOND;
    /** The outcomes that the module got, in order. */
    private final BlockingQueue<Api.AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
    /** Whether the module got an outcome while it was handling a request. */
    private volatile boolean wasReentered;
    private volatile Api.Request receivedRequest;

    /** Records requests and outcomes. Subclasses decide what to do with a request. */
    private class RecordingModule extends NoOpModule {
        private boolean isHandlingRequest;
        List<Api.Server> servers = List.of();

        RecordingModule(Api.Actions actions) {
            super(actions);
        }

        @Override
        public void onServerList(long now, Api.ListMode mode, List<Api.Server> list) {
            servers = list;
        }

        @Override
        public final void onRequest(long now, Api.Request request) {
            isHandlingRequest = true;
            receivedRequest = request;
            handleRequest(now, request, servers.isEmpty() ? 0 : servers.get(0).id());
            isHandlingRequest = false;
        }

        /** {@code serverId}: the first server of the list. */
        void handleRequest(long now, Api.Request request, long serverId) {
        }

        @Override
        public void onAttemptOutcome(long now, Api.AttemptOutcome outcome) {
            wasReentered |= isHandlingRequest;
            outcomes.add(outcome);
        }
    }

    /** What the module does with a request; see {@link RecordingModule#handleRequest}. */
    private interface RequestHandler {
        void handle(Api.Actions actions, long now, Api.Request request, long serverId);
    }

    /** A balancer, not yet started, whose module passes requests to the handler. */
    private BalancerFixture newFixture(RequestHandler handler, FakeHost... hosts) {
        BalancerFixture fixture = new BalancerFixture(hosts);
        fixture.moduleFactory = (settings, seed, actions) -> new RecordingModule(actions) {
            @Override
            void handleRequest(long now, Api.Request request, long serverId) {
                handler.handle(actions, now, request, serverId);
            }
        };
        return fixture;
    }

    /** Waits for the next outcome; null if none comes in time. */
    private Api.AttemptOutcome awaitOutcome() throws InterruptedException {
        return outcomes.poll(LineSocket.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void assertNextOutcome(int attempt, Reason reason, boolean isRequestClosed) throws InterruptedException {
        Api.AttemptOutcome outcome = awaitOutcome();
        assertEquals(attempt, outcome.attemptIndex());
        assertEquals(reason, outcome.reason());
        assertEquals(isRequestClosed, outcome.isRequestClosed(), "whether the request is closed");
    }

    @Test
    void outcomesAreDeliveredInOrderAfterTheModuleReturns() throws Exception {
        try (BalancerFixture fixture = newFixture((actions, now, request, serverId) -> {
            actions.send(request.id(), serverId, 0);
            actions.cancel(request.id(), 0);
            actions.send(request.id(), 4711, 0); // A server that is not in the list.
            actions.send(request.id(), serverId, now - 1);
            actions.refuse(request.id(), 0);
            actions.send(request.id(), serverId, 0);
            actions.cancel(request.id(), 0);
            actions.cancel(request.id(), 99); // An attempt that does not exist.
        }, FakeHost.serving()).start(); LineSocket client = fixture.connectClient()) {
            assertEquals("SERVER_ERROR busy", client.request(BalancerFixture.READ));
            assertNextOutcome(0, Reason.CANCELLED, true);
            assertNextOutcome(1, Reason.MOOT, true);
            assertNextOutcome(2, Reason.TIMEOUT, true);
            assertNextOutcome(3, Reason.MOOT, true);
            assertFalse(wasReentered);
            assertEquals("MN", client.request("mn"));
            assertNull(outcomes.poll(), "one outcome for each send");
            assertEquals(0, fixture.hosts.get(0).receivedCommands.size(), "no attempt of a closed request is sent");
        }
    }

    @Test
    void attemptsBeyondMaxAttemptsAreNotSent() throws Exception {
        try (BalancerFixture fixture = newFixture((actions, now, request, serverId) -> {
            for (int i = 0; i < 5; i++) {
                actions.send(request.id(), serverId, 0);
            }
        }, FakeHost.responding(command -> null)).start(); LineSocket client = fixture.connectClient()) {
            client.write(BalancerFixture.READ + "\r\n");
            assertNextOutcome(4, Reason.MOOT, false);
            for (int i = 0; i < 4; i++) {
                fixture.hosts.get(0).awaitCommand();
            }
            assertEquals(4, fixture.hosts.get(0).connectionCount.get(), "one request in flight per connection");
        }
    }

    @Test
    void clientGetsTheFirstResponseAndNoOther() throws Exception {
        int[] responseCount = new int[1];
        FakeHost host = FakeHost.responding(
                command -> responseCount[0]++ == 0 ? null : FakeHost.valueResponse(command, "v"));
        try (BalancerFixture fixture = newFixture((actions, now, request, serverId) -> {
            actions.send(request.id(), serverId, 0);
            actions.scheduleTimer(now + MILLISECOND, 1);
        }, host)) {
            Balancer.ModuleFactory recordingModuleFactory = fixture.moduleFactory;
            fixture.moduleFactory = (settings, seed, actions) -> {
                Api.Events recordingModule = recordingModuleFactory.create(settings, seed, actions);
                return new NoOpModule(actions) {
                    private long requestId;
                    private long serverId;

                    @Override
                    public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                        recordingModule.onServerList(now, mode, servers);
                        serverId = servers.isEmpty() ? serverId : servers.get(0).id();
                    }

                    @Override
                    public void onRequest(long now, Api.Request request) {
                        requestId = request.id();
                        recordingModule.onRequest(now, request);
                    }

                    @Override
                    public void onTimer(long now, int token) {
                        if (responseCount[0] == 0) {
                            actions.scheduleTimer(now + MILLISECOND, token);
                        } else {
                            actions.send(requestId, serverId, 0);
                        }
                    }

                    @Override
                    public void onAttemptOutcome(long now, Api.AttemptOutcome outcome) {
                        actions.fail(requestId);
                        actions.cancel(requestId, 0);
                        recordingModule.onAttemptOutcome(now, outcome);
                    }
                };
            };
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                assertEquals("VA 1 O1", client.request(BalancerFixture.READ));
                client.readData(1);
                assertNextOutcome(1, Reason.OK, true);
                assertNextOutcome(0, Reason.CANCELLED, true);
                assertEquals("MN", client.request("mn"), "no second reply");
            }
        }
    }

    /** The module must get the same values for a request on a socket as from the simulator. */
    @Test
    void requestAndLoadReportAreMappedToModuleValues() throws Exception {
        try (BalancerFixture fixture = newFixture(
                (actions, now, request, serverId) -> actions.send(request.id(), serverId, 0),
                FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            long before = Clock.now();
            client.request("ms 00000000000000ff 1 O1 Pc=put,t=acme,d=4000,k=1,r=1,h=250,size=12\r\nx");
            assertEquals(255, receivedRequest.key());
            assertEquals(2, receivedRequest.classIndex());
            assertEquals(0, receivedRequest.tenantIndex());
            assertEquals(250_000, receivedRequest.workHintNs());
            assertTrue(receivedRequest.isClientRetry() && receivedRequest.isWrite());
            assertTrue(receivedRequest.deadline() > before
                            && receivedRequest.deadline() < Clock.now() + 4000 * MILLISECOND,
                    "the deadline counts from when the client sent the request");
            assertEquals(List.of(0.0f), List.of(awaitOutcome().loadReport().length * 0.0f));
            client.request(BalancerFixture.READ);
            assertEquals(0.5f, awaitOutcome().loadReport()[0], "util on the wire is the field busy of the settings");
        }
    }

    /**
     * A host at its connection limit sends "busy" on a new connection and closes it. That was mistaken for a rejection
     * because of a full queue.
     */
    @Test
    void busyOnANewConnectionIsAConnectFailureAndLaterARejection() throws Exception {
        AtomicBoolean isBusy = new AtomicBoolean(true);
        FakeHost host = FakeHost.responding(
                command -> isBusy.get() ? "SERVER_ERROR busy\r\n" : FakeHost.responseTo(command));
        try (BalancerFixture fixture = newFixture(
                (actions, now, request, serverId) -> actions.send(request.id(), serverId, 0), host).start();
                LineSocket client = fixture.connectClient()) {
            client.write(BalancerFixture.NON_IDEMPOTENT_WRITE + "\r\n");
            assertEquals(Reason.CONNECT_FAILED, awaitOutcome().reason());
            isBusy.set(false);
            client.write(BalancerFixture.READ + "\r\n");
            assertEquals(Reason.OK, awaitOutcome().reason());
            assertEquals(2, host.connectionCount.get(), "the first connection was not reused");
            isBusy.set(true);
            client.write(BalancerFixture.READ + "\r\n");
            assertEquals(Reason.REJECTED, awaitOutcome().reason(), "on a connection that has served a request");
        }
    }

    /** An exception in the module must neither end the process nor leave a request without a reply. */
    @Test
    void requestIsRefusedWhenTheModuleThrows() throws Exception {
        try (BalancerFixture fixture = newFixture((actions, now, request, serverId) -> {
            if (request.classIndex() == 0) {
                throw new IllegalStateException("thrown by the test before a send");
            }
            actions.send(request.id(), serverId, 0);
        }, FakeHost.serving()).start(); LineSocket client = fixture.connectClient()) {
            assertEquals("SERVER_ERROR busy", client.request(BalancerFixture.READ));
            assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
        }
    }

    /** An Error on the event loop, such as a lack of memory, left its connection without any further reply. */
    @Test
    void requestAndLaterOnesOnItsConnectionAreAnsweredAfterAnError() throws Exception {
        try (BalancerFixture fixture = newFixture((actions, now, request, serverId) -> {
            if (request.classIndex() == 0) {
                throw new OutOfMemoryError("thrown by the test before a send");
            }
            actions.send(request.id(), serverId, 0);
        }, FakeHost.serving()).start(); LineSocket client = fixture.connectClient()) {
            assertEquals("SERVER_ERROR busy", client.request(BalancerFixture.READ));
            assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
        }
    }

    /** An Error after the attempt was sent left the request without a reply, and the attempt without an end. */
    @Test
    void sentRequestIsFailedAfterAnError() throws Exception {
        try (BalancerFixture fixture = newFixture((actions, now, request, serverId) -> {
            actions.send(request.id(), serverId, 0);
            throw new OutOfMemoryError("thrown by the test after a send");
        }, FakeHost.responding(command -> null)).start(); LineSocket client = fixture.connectClient()) {
            client.write(BalancerFixture.READ + "\r\n");
            String reply = client.readLine();
            assertTrue(reply.equals("SERVER_ERROR failed") || reply.equals("SERVER_ERROR busy"), reply);
            ServingTest.awaitGauges(fixture, "open 0 ledger 0 ");
        }
    }

    /** A request for which the module never acts must still get its reply in time. */
    @Test
    void requestIgnoredByTheModuleIsRefusedAtItsDeadline() throws Exception {
        try (BalancerFixture fixture = newFixture((actions, now, request, serverId) -> { }, FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("SERVER_ERROR busy", client.request("mg 1 v O1 Pc=read,t=acme,d=60"));
        }
    }
}
