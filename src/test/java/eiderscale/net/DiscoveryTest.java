package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against a watch of the host list that ends for good, or resumes from a wrong revision, after a list, a failed
 * or unresponsive call, a refused connection or a change of discovery's address.
 */
class DiscoveryTest {
    /** The lists that the decision module got: mode and number of hosts. */
    private final BlockingQueue<String> deliveredLists = new LinkedBlockingQueue<>();
    /** The responses still to be sent by {@link #startDiscovery}; an empty one stands for a reset. */
    private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
    /** The request lines that discovery received. */
    private final BlockingQueue<String> receivedCalls = new LinkedBlockingQueue<>();

    /** Starts a server that takes the response to each call from {@link #responses}. */
    private FakeHost startDiscovery() throws IOException {
        return new FakeHost(connection -> {
            String request = connection.readLine();
            for (String line = request; line != null && !line.isEmpty(); ) {
                line = connection.readLine();
            }
            receivedCalls.add(request);
            try {
                String response = responses.poll(LineSocket.TIMEOUT_MS, TimeUnit.MILLISECONDS);
                if (response == null || response.isEmpty()) {
                    connection.reset();
                } else {
                    connection.write(response);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static String okResponse(String json) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
    }

    private static String listResponse(int revision, boolean isFull, String... targetsJson) {
        return okResponse("{\"rev\":" + revision + ",\"all\":" + isFull + ",\"targets\":["
                + String.join(",", targetsJson) + "]}");
    }

    /** A module that subscribes at the start and after each failure, and records the lists that it gets. */
    private Api.Events resubscribingModule(Api.Actions actions) {
        return new NoOpModule(actions) {
            @Override
            public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                deliveredLists.add(mode + " " + servers.size());
                if (mode == Api.ListMode.CACHED || mode == Api.ListMode.FAILED) {
                    actions.scheduleTimer(now, 1);
                }
            }

            @Override
            public void onTimer(long now, int token) {
                actions.subscribe();
            }
        };
    }

    /** Waits for the next element; null if none comes in time. */
    private static String pollNext(BlockingQueue<String> queue) throws InterruptedException {
        return queue.poll(LineSocket.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Test
    void watchContinuesFromTheLatestRevisionAfterListsAndFailures() throws Exception {
        try (FakeHost discovery = startDiscovery();
                BalancerFixture fixture = new BalancerFixture(FakeHost.serving())) {
            fixture.discoveryEndpoint = discovery.endpoint();
            fixture.moduleFactory = (settings, seed, actions) -> resubscribingModule(actions);
            fixture.start();
            assertEquals("CACHED 1", pollNext(deliveredLists));
            String hostJson = BalancerFixture.targetJson("s-9", "127.0.0.1:9", "Ready");
            responses.add(listResponse(41, false, hostJson));
            assertTrue(pollNext(receivedCalls).startsWith("GET /catalog/members?since=7&timeout_ms="));
            assertEquals("DELTA 1", pollNext(deliveredLists));
            responses.add(listResponse(43, true, hostJson, hostJson));
            assertTrue(pollNext(receivedCalls).startsWith("GET /catalog/members?since=41&timeout_ms="));
            assertEquals("FULL 2", pollNext(deliveredLists));
            List<String> failures = List.of("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "",
                    okResponse("{\"rev\":44}"), okResponse("nonsense"), "garbage\r\n\r\n",
                    listResponse(44, false, BalancerFixture.targetJson("s-9", "127.0.0.1:9", "Unknown")),
                    listResponse(44, false, BalancerFixture.targetJson("s-9", "no address", "Ready")));
            for (String failure : failures) {
                responses.add(failure);
                assertTrue(pollNext(receivedCalls).startsWith("GET /catalog/members?since=43&timeout_ms="));
                assertEquals("FAILED 0", pollNext(deliveredLists), failure);
            }
            responses.add(listResponse(45, false));
            assertTrue(pollNext(receivedCalls).startsWith("GET /catalog/members?since=43&timeout_ms="));
            assertEquals("DELTA 0", pollNext(deliveredLists));
        }
    }

    @Test
    void newAddressIsCalledAtOnceFromTheCurrentRevision() throws Exception {
        try (FakeHost oldDiscovery = startDiscovery();
                FakeHost newDiscovery = startDiscovery();
                BalancerFixture fixture = new BalancerFixture(FakeHost.serving())) {
            fixture.discoveryEndpoint = oldDiscovery.endpoint();
            fixture.moduleFactory = (settings, seed, actions) -> resubscribingModule(actions);
            fixture.start();
            assertEquals("CACHED 1", pollNext(deliveredLists));
            responses.add(listResponse(41, false));
            assertTrue(pollNext(receivedCalls).startsWith("GET /catalog/members?since=7&timeout_ms="));
            assertEquals("DELTA 0", pollNext(deliveredLists));
            assertTrue(pollNext(receivedCalls).startsWith("GET /catalog/members?since=41&timeout_ms="),
                    "a call is in flight");
            fixture.discoveryEndpoint = newDiscovery.endpoint();
            Config newConfig = Config.parse(Json.parse(fixture.configJson("127.0.0.1:1").getBytes()));
            fixture.eventLoop.submit(() -> fixture.node.reload(newConfig)).get();
            assertTrue(pollNext(receivedCalls).startsWith("GET /catalog/members?since=41&timeout_ms="));
            assertEquals(1, newDiscovery.connectionCount.get());
            // Either call may take the first response: the one to the old address, which is ignored, or the new one.
            responses.add(listResponse(44, false));
            responses.add(listResponse(44, true, BalancerFixture.targetJson("s-9", "127.0.0.1:9", "Ready")));
            String nextList = pollNext(deliveredLists);
            assertTrue(nextList.equals("DELTA 0") || nextList.equals("FULL 1"), nextList);
        }
    }

    /**
     * A refused connection may fail synchronously, while the call is still being started. That once ended the watch for
     * good.
     */
    @Test
    void refusedConnectionIsReportedAsFailureAndCallsContinue() throws Exception {
        FakeHost discovery = startDiscovery();
        discovery.stopListening();
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving())) {
            fixture.discoveryEndpoint = discovery.endpoint();
            fixture.moduleFactory = (settings, seed, actions) -> resubscribingModule(actions);
            fixture.start();
            assertEquals("CACHED 1", pollNext(deliveredLists));
            assertEquals("FAILED 0", pollNext(deliveredLists));
            assertEquals("FAILED 0", pollNext(deliveredLists));
            assertEquals("FAILED 0", pollNext(deliveredLists));
        }
    }

    /** A module that subscribes only at the start, and records the lists that it gets. */
    private Api.Events onceSubscribingModule(Api.Actions actions) {
        return new NoOpModule(actions) {
            @Override
            public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                deliveredLists.add(mode + " " + servers.size());
                if (mode == Api.ListMode.CACHED) {
                    actions.scheduleTimer(now, 1);
                }
            }

            @Override
            public void onTimer(long now, int token) {
                actions.subscribe();
            }
        };
    }

    /** Reloads the configuration with another address of discovery. */
    private static void reloadWithDiscovery(BalancerFixture fixture, FakeHost newDiscovery) throws Exception {
        fixture.discoveryEndpoint = newDiscovery.endpoint();
        Config newConfig = Config.parse(Json.parse(fixture.configJson("127.0.0.1:1").getBytes()));
        fixture.eventLoop.submit(() -> fixture.node.reload(newConfig)).get();
    }

    /**
     * The balancer is expected to know a change soon after the long-poll timeout of the watch that missed it. The
     * decision module's backoff would take too long, so it must not get to see a failure.
     */
    @Test
    void unresponsiveWatchIsReopenedAtOnce() throws Exception {
        FakeHost discovery = new FakeHost(connection -> {
            receivedCalls.add(connection.readLine());
            if (receivedCalls.size() == 1) {
                while (connection.readLine() != null) {
                    continue; // No response until the balancer closes the connection.
                }
            } else {
                connection.write(
                        listResponse(41, true, BalancerFixture.targetJson("s-9", "127.0.0.1:9", "Terminating")));
            }
        });
        try (discovery; BalancerFixture fixture = new BalancerFixture(FakeHost.serving())) {
            fixture.discoveryEndpoint = discovery.endpoint();
            fixture.moduleFactory = (settings, seed, actions) -> onceSubscribingModule(actions);
            fixture.start();
            assertEquals("CACHED 1", pollNext(deliveredLists));
            assertEquals("FULL 1", pollNext(deliveredLists),
                    "no failure before it that would make the module back off");
        }
    }

    /** The balancer is expected to know the list at the new address 4 s after the signal for the reload. */
    @Test
    void failedCallsToANewAddressAreRetriedWithoutTheModule() throws Exception {
        try (FakeHost oldDiscovery = new FakeHost(LineSocket::awaitPeerClose);
                FakeHost newDiscovery = startDiscovery();
                BalancerFixture fixture = new BalancerFixture(FakeHost.serving())) {
            fixture.discoveryEndpoint = oldDiscovery.endpoint();
            fixture.moduleFactory = (settings, seed, actions) -> onceSubscribingModule(actions);
            fixture.start();
            assertEquals("CACHED 1", pollNext(deliveredLists));
            responses.add("");
            responses.add("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            responses.add(listResponse(44, true, BalancerFixture.targetJson("s-9", "127.0.0.1:9", "Ready")));
            reloadWithDiscovery(fixture, newDiscovery);
            assertEquals("FULL 1", pollNext(deliveredLists));
        }
    }

    /** The address may change before the module has subscribed, as that waits for the module's timer. */
    @Test
    void addressChangeBeforeTheFirstCallStartsTheWatch() throws Exception {
        try (FakeHost newDiscovery = startDiscovery();
                BalancerFixture fixture = new BalancerFixture(FakeHost.serving())) {
            fixture.moduleFactory = (settings, seed, actions) -> new NoOpModule(actions) {
                @Override
                public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                    deliveredLists.add(mode + " " + servers.size());
                }
            };
            fixture.start();
            assertEquals("CACHED 1", pollNext(deliveredLists));
            responses.add(listResponse(44, true, BalancerFixture.targetJson("s-9", "127.0.0.1:9", "Ready")));
            reloadWithDiscovery(fixture, newDiscovery);
            assertEquals("FULL 1", pollNext(deliveredLists));
        }
    }

    @Test
    void automaticWatchStartsAtOnceAndContinuesAfterFailures() throws Exception {
        try (FakeHost discovery = startDiscovery();
                BalancerFixture fixture = new BalancerFixture(FakeHost.serving())) {
            fixture.discoveryEndpoint = discovery.endpoint();
            fixture.discoveryMode = "automatic";
            fixture.moduleFactory = (settings, seed, actions) -> new NoOpModule(actions) {
                @Override
                public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                    deliveredLists.add(mode + " " + servers.size());
                }
            };
            responses.add("");
            responses.add("");
            responses.add(listResponse(41, true, BalancerFixture.targetJson("s-9", "127.0.0.1:9", "Ready")));
            fixture.start();
            assertEquals("CACHED 1", pollNext(deliveredLists));
            assertEquals("FULL 1", pollNext(deliveredLists));
        }
    }

    /**
     * Rendezvous hashing needs the same host id at all balancers, although they may reach the host by different
     * addresses.
     */
    @Test
    void hostIdDependsOnlyOnItsUid() throws Exception {
        SiteSettings site;
        try (BalancerFixture fixture = new BalancerFixture()) {
            site = fixture.siteSettings();
        }
        HostList ready = parseHostList(BalancerFixture.targetJson("s-5be2a07c", "127.0.0.1:11211", "Ready"), site);
        HostList sameUid = parseHostList(
                BalancerFixture.targetJson("s-5be2a07c", "127.9.0.1:11211", "Terminating"), site);
        HostList otherUid = parseHostList(BalancerFixture.targetJson("s-5be2a07d", "127.0.0.1:11211", "Gone"), site);
        assertEquals(ready.members().get(0).server().id(), sameUid.members().get(0).server().id());
        assertTrue(ready.members().get(0).server().id() != otherUid.members().get(0).server().id());
        assertEquals(Api.State.DRAINING, sameUid.members().get(0).server().state());
        assertEquals(Api.State.GONE, otherUid.members().get(0).server().state());
    }

    private static HostList parseHostList(String targetJson, SiteSettings site) {
        String listJson = "{\"rev\":1,\"all\":true,\"targets\":[" + targetJson + "]}";
        return HostList.parse(Json.parse(listJson.getBytes(StandardCharsets.UTF_8)), site);
    }
}
