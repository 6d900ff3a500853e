package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Two events that cross: peers withhold, split or send too much at once, so that each order is forced. */
class CrossingsTest {
    private static final String FRAGILE = "ms 1 1 O%s Pc=copy,t=acme,d=%d\r\nx\r\n";
    private static final int LONG_MS = 60_000;
    /** Commands of some 40 bytes: several times what is held back of a connection. */
    private static final int MANY = 20_000;

    private static String fragile(String id, int waitMs) {
        return String.format(FRAGILE, id, waitMs);
    }

    private static void list(Rig rig, String... targets) throws Exception {
        String json = "{\"rev\":8,\"all\":false,\"targets\":[" + String.join(",", targets) + "]}";
        HostList catalog = HostList.parse(Json.parse(json.getBytes()), rig.site());
        rig.loop.submit(() -> rig.node.onHostList(Api.ListMode.DELTA, catalog.members())).get();
    }

    // The end of a client's connection.

    /** The first refusal ended a surplus connection, and the command behind it was dropped unanswered. */
    @Test
    void twoCommandsInOneSegmentAreBothAnsweredWhereThereIsNoRoom() throws Exception {
        List<Peer> peers = new ArrayList<>();
        try (Rig rig = new Rig(FakeHost.answering(c -> null))) {
            rig.sockets = 64;
            rig.start();
            for (int i = 0; i < 21; i++) {
                peers.add(rig.client());
                assertEquals("MN", peers.get(i).ask("mn"));
            }
            try (Peer surplus = rig.client()) {
                surplus.write(fragile("1", 9_000) + fragile("2", 9_000));
                assertEquals("SERVER_ERROR busy", surplus.line());
                assertEquals("SERVER_ERROR busy", surplus.line());
                assertNull(surplus.line());
            }
        } finally {
            for (Peer peer : peers) {
                peer.close();
            }
        }
    }

    /** A close with bytes left unread is a reset, which destroyed what was still on its way to the client. */
    @Test
    void bytesThatCrossOurEndDoNotDestroyTheAnswerOnItsWay() throws Exception {
        String value = "v".repeat(MetaFrame.MAX_VALUE_BYTES);
        try (Rig rig = new Rig(FakeHost.answering(c -> FakeHost.value(c, value))).start();
                Peer client = rig.slowClient()) {
            client.write(Rig.READ + "\r\nquit\r\n");
            rig.hosts.get(0).command();
            ServingTest.awaitGauge(rig, "open 0 ");
            for (int i = 0; i < 20; i++) {
                client.write("mg crossing\r\n");
            }
            assertEquals("VA 65536 O1", client.line());
            assertEquals(value, client.data(value.length()));
            assertNull(client.line());
        }
    }

    /** With 64 requests open nothing was read any more, and so the client's end went unseen. */
    @Test
    void aClientsEndIsSeenBehindMoreRequestsThanMayBeOpen() throws Exception {
        assertEndIsSeenBehind(100);
    }

    /** Past 32 KiB held back nothing was read any more, and what was open went on for a client that had left. */
    @Test
    void aClientsEndIsSeenBehindFarMoreThanIsHeldBack() throws Exception {
        assertEndIsSeenBehind(MANY);
    }

    private static void assertEndIsSeenBehind(int commands) throws Exception {
        try (Rig rig = new Rig(FakeHost.answering(c -> null))) {
            rig.deadlineMs = LONG_MS;
            rig.start();
            try (Peer client = rig.client()) {
                client.write(fragile(commands, LONG_MS));
                ServingTest.awaitGauge(rig, "open 64 ");
            }
            ServingTest.awaitGauge(rig, "open 0 ");
            ServingTest.awaitGauge(rig, "clients 0 ");
            assertTrue(rig.hosts.get(0).commands.size() <= 64, "what was held back is not sent");
        }
    }

    @Test
    void whatCannotBeHeldBackIsRefusedInItsTurn() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeHost host = FakeHost.answering(command -> FakeHost.servedAfter(release, command));
        try (Rig rig = new Rig(host)) {
            rig.deadlineMs = LONG_MS;
            rig.start();
            try (Peer client = rig.client()) {
                client.write(fragile(MANY, LONG_MS));
                while (shed(rig) == 0) {
                    Thread.onSpinWait();
                }
                release.countDown();
                int next = 0;
                int refused = 0;
                for (int i = 0; i < MANY; i++) {
                    String answer = client.line();
                    if (answer.equals("SERVER_ERROR busy")) {
                        refused++;
                    } else {
                        assertTrue(Integer.parseInt(answer.substring(4, answer.indexOf(' ', 4))) == i,
                                "the answer to command " + i + ": " + answer);
                        next++;
                    }
                }
                assertTrue(next >= 64 && refused > 0, next + " served, " + refused + " refused");
                assertEquals("HD O2 c77", client.ask(Rig.COPY), "the client goes on");
            }
        }
    }

    private static long shed(Rig rig) throws Exception {
        String gauges = rig.loop.submit(rig.node::gauges).get();
        return Long.parseLong(gauges.replaceAll(".* shed (\\d+) .*", "$1"));
    }

    private static String fragile(int many, int waitMs) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < many; i++) {
            commands.append(fragile(Integer.toString(i), waitMs));
        }
        return commands.toString();
    }

    /** A late loop read a command whose client had long left, and began an attempt before it met the end behind it. */
    @Test
    void nothingIsBegunForAClientWhoseEndWasReadWithItsCommand() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start()) {
            CountDownLatch late = new CountDownLatch(1);
            try (Peer client = rig.client(); Peer other = rig.client()) {
                assertEquals("MN", client.ask("mn"));
                assertEquals("MN", other.ask("mn"));
                rig.loop.execute(() -> {
                    try {
                        late.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                client.write(fragile("gone", 5_000)).leave();
                late.countDown();
                assertEquals("HD O2 c77", other.ask(Rig.COPY));
            }
            assertTrue(rig.hosts.get(0).command().contains(" O2 "), "the first command that a host got");
            assertTrue(rig.hosts.get(0).commands.isEmpty(), "and the only one");
        }
    }

    @Test
    void whatWasHeldBackIsAnsweredWhenThereIsRoom() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeHost host = FakeHost.answering(command -> FakeHost.servedAfter(release, command));
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            client.write(fragile(100, 9_000) + "quit\r\n");
            ServingTest.awaitGauge(rig, "open 64 ");
            release.countDown();
            for (int i = 0; i < 100; i++) {
                assertEquals("HD O" + i + " c77", client.line());
            }
            assertNull(client.line());
        }
    }

    // A stop.

    /** SIGKILL comes soon after the longest deadline, counted as 3 s where it is longer. */
    @Test
    void aStopSettlesWhatIsOpenAndTakesNothingNewMeanwhile() throws Exception {
        try (Rig rig = new Rig(FakeHost.answering(c -> null))) {
            rig.deadlineMs = LONG_MS;
            rig.start();
            try (Peer client = rig.client()) {
                client.write(fragile("1", LONG_MS));
                rig.hosts.get(0).command();
                Future<?> stopped = rig.loop.submit(rig.node::stop).get();
                awaitRefusal(rig);
                client.write(fragile("2", LONG_MS) + fragile("3", LONG_MS));
                assertEquals("SERVER_ERROR failed", client.line(), "it may have run");
                assertEquals("SERVER_ERROR busy", client.line());
                assertEquals("SERVER_ERROR busy", client.line());
                assertNull(client.line());
                client.leave();
                assertTrue(stopped.await(Peer.LIMIT_MS));
                assertEquals(0, rig.hosts.get(0).commands.size(), "nothing else was sent");
            }
        }
    }

    /** All 64 open requests can end at once, when the first in line does, with more commands held back. */
    @Test
    void aStopAnswersWhatWasHeldBackBehindOpenRequests() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeHost host = FakeHost.answering(command -> command.contains(" O0 ")
                ? FakeHost.servedAfter(release, command) : FakeHost.served(command));
        try (Rig rig = new Rig(host)) {
            rig.deadlineMs = LONG_MS;
            rig.start();
            try (Peer client = rig.client()) {
                client.write(fragile(100, LONG_MS));
                ServingTest.awaitGauge(rig, "open 1 ");
                rig.loop.submit(rig.node::stop).get();
                awaitRefusal(rig);
                release.countDown();
                for (int i = 0; i < 64; i++) {
                    assertEquals("HD O" + i + " c77", client.line());
                }
                for (int i = 64; i < 100; i++) {
                    assertEquals("SERVER_ERROR busy", client.line());
                }
                assertNull(client.line());
            }
        }
    }

    private static void awaitRefusal(Rig rig) throws InterruptedException {
        long end = System.nanoTime() + Peer.LIMIT_MS * 1_000_000L;
        while (System.nanoTime() < end) {
            try {
                rig.client().close();
                Thread.sleep(2);
            } catch (IOException e) {
                return;
            }
        }
        throw new AssertionError("it goes on listening");
    }

    // More answers than were asked for.

    private static FakeHost script(FakeHost.Script... scripts) throws IOException {
        FakeHost[] self = new FakeHost[1];
        self[0] = new FakeHost(peer -> {
            int number = self[0].connections.get() - 1;
            scripts[Math.min(number, scripts.length - 1)].run(peer);
            peer.awaitEnd();
            self[0].ends.add("end");
        });
        return self[0];
    }

    private static void serveAll(Peer peer) throws IOException {
        for (String line = peer.line(); line != null; line = peer.line()) {
            if (line.startsWith("ms ")) {
                peer.data(1);
            }
            peer.write(FakeHost.served(line));
        }
    }

    private static String read(Peer peer) throws IOException {
        String line = peer.line();
        if (line != null && line.startsWith("ms ")) {
            peer.data(1);
        }
        return line;
    }

    /** It came to the attempt that the first answer had put on the same connection, as "never ran". */
    @Test
    void aSecondAnswerInTheSameReadMeetsNoOtherRequest() throws Exception {
        FakeHost host = script(peer -> {
            peer.write(FakeHost.served(read(peer)) + "SERVER_ERROR busy\r\n");
            serveAll(peer);
        }, CrossingsTest::serveAll);
        try (Rig rig = new Rig(host)) {
            rig.module = (settings, seed, actions) -> new Scripted(actions) {
                private final List<Long> waiting = new ArrayList<>();
                private long server;

                @Override
                public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                    server = servers.isEmpty() ? server : servers.get(0).id();
                }

                @Override
                public void onRequest(long now, Api.Request request) {
                    waiting.add(request.id());
                    if (waiting.size() == 2) {
                        actions.send(waiting.get(0), server, 0);
                    }
                }

                @Override
                public void onAttemptOutcome(long now, Api.AttemptOutcome outcome) {
                    if (outcome.reason() != Api.Reason.OK) {
                        actions.fail(outcome.requestId());
                    } else if (outcome.requestId() == waiting.get(0)) {
                        actions.send(waiting.get(1), server, 0);
                    }
                }
            };
            rig.start();
            try (Peer client = rig.client()) {
                client.write("mg 1 v O1 Pc=read,t=acme,d=9000\r\nmg 2 v O2 Pc=read,t=acme,d=9000\r\n");
                assertEquals("VA 1 O1", client.line());
                client.data(1);
                assertEquals("VA 1 O2", client.line());
            }
        }
    }

    /** A late "busy" names no request: a write that had run was refused as if it never had. */
    @Test
    void aLateSecondAnswerIsNotTakenForAnUnrepeatableWritesOwn() throws Exception {
        FakeHost host = script(peer -> {
            peer.write(FakeHost.served(read(peer)));
            read(peer);
            peer.write("SERVER_ERROR busy\r\n");
        }, CrossingsTest::serveAll);
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            client.write(fragile("1", 9_000));
            assertEquals("HD O1 c77", client.line());
            client.write(fragile("2", 9_000));
            assertEquals("HD O2 c77", client.line(), "sent on a connection without a past");
        }
    }

    @Test
    void theBeginningOfASecondAnswerEndsTheConnection() throws Exception {
        FakeHost host = script(peer -> {
            peer.write(FakeHost.served(read(peer)) + "VA 5 ");
            serveAll(peer);
        }, CrossingsTest::serveAll);
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            assertEquals("HD O3 c77", client.ask(Rig.PUT.replace(" 5 ", " 1 ").replace("hello", "h")));
            assertEquals("VA 16 O1", client.ask(Rig.READ));
            client.data(16);
            assertEquals(2, host.connections.get());
        }
    }

    @Test
    void theLateBeginningOfASecondAnswerEndsTheIdleConnection() throws Exception {
        CountDownLatch idle = new CountDownLatch(1);
        FakeHost host = script(peer -> {
            peer.write(FakeHost.served(read(peer)));
            try {
                idle.await();
            } catch (InterruptedException e) {
                return;
            }
            peer.write("VA 5 ");
        });
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            assertEquals("VA 16 O1", client.ask(Rig.READ));
            ServingTest.awaitGauge(rig, " idle 1");
            idle.countDown();
            ServingTest.awaitGauge(rig, " links 0 ");
        }
    }

    // The list, while connections come up or stand idle.

    @Test
    void aConnectionToAnAddressThatIsNoLongerTheHostsCarriesNothing() throws Exception {
        try (ConnectingTest.FullHost old = new ConnectingTest.FullHost(); FakeHost moved = FakeHost.serving();
                Rig rig = new Rig()) {
            rig.extraTargets.add(old.target());
            rig.connectMs = Peer.LIMIT_MS;
            rig.start();
            try (Peer client = rig.client()) {
                client.write(fragile("1", 15_000));
                ServingTest.awaitGauge(rig, " links 1 ");
                list(rig, Rig.target("s-full", moved.endpoint(), "Ready"));
                try (Peer peer = old.accept()) {
                    assertNull(peer.line(), "closed without a command");
                }
                assertEquals("SERVER_ERROR busy", client.line());
                client.write(fragile("2", 9_000));
                assertEquals("HD O2 c77", client.line());
            }
        }
    }

    /** The process that held the other end is gone: a write on it would end as a reset. */
    @Test
    void idleConnectionsToAHostThatStartedAnewAreClosed() throws Exception {
        FakeHost host = FakeHost.serving();
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            assertEquals("HD O3 c77", client.ask(Rig.PUT));
            ServingTest.awaitGauge(rig, " idle 1");
            list(rig, Rig.target("s-0", host.endpoint(), "Ready").replace("\"boot_ms\":0", "\"boot_ms\":5"));
            assertEquals("end", host.awaitEnd());
        }
    }

    // Requests that are over before they were written.

    @Test
    void aRequestWhoseClientLeftIsNotWrittenWhereCancellingIsForbidden() throws Exception {
        try (ConnectingTest.FullHost host = new ConnectingTest.FullHost(); Rig rig = new Rig()) {
            rig.extraTargets.add(host.target());
            rig.connectMs = LONG_MS;
            rig.cancelling = false;
            rig.deadlineMs = LONG_MS;
            rig.start();
            try (Peer leaver = rig.client()) {
                leaver.write(fragile("left", LONG_MS));
                ServingTest.awaitGauge(rig, " links 1 ");
            }
            ServingTest.awaitGauge(rig, "open 0 ledger 0 ");
            try (Peer peer = host.accept(); Peer client = rig.client()) {
                ServingTest.awaitGauge(rig, " idle 1");
                client.write(fragile("stays", 9_000));
                assertTrue(peer.line().contains(" Ostays "), "the first command on the connection");
            }
        }
    }

    @Test
    void aCopyIsNotWrittenAfterTheAnswerWhereCancellingIsForbidden() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeHost slow = FakeHost.answering(command -> FakeHost.servedAfter(release, command));
        try (ConnectingTest.FullHost full = new ConnectingTest.FullHost(); Rig rig = new Rig(slow)) {
            rig.extraTargets.add(full.target());
            rig.connectMs = LONG_MS;
            rig.cancelling = false;
            rig.deadlineMs = LONG_MS;
            rig.module = (settings, seed, actions) -> new Scripted(actions) {
                private List<Api.Server> all = List.of();

                @Override
                public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                    all = servers.isEmpty() ? all : servers;
                }

                @Override
                public void onRequest(long now, Api.Request request) {
                    all.forEach(server -> actions.send(request.id(), server.id(), 0));
                }
            };
            rig.start();
            try (Peer client = rig.client()) {
                client.write(Rig.READ.replace("d=5000", "d=" + LONG_MS) + "\r\n");
                ServingTest.awaitGauge(rig, " links 2 ");
                release.countDown();
                assertEquals("VA 16 O1", client.line());
                ServingTest.awaitGauge(rig, "open 0 ledger 0 ");
                try (Peer peer = full.accept()) {
                    ServingTest.awaitGauge(rig, " idle 2");
                    client.write("mg 2 v Onext Pc=read,t=acme,d=9000\r\n");
                    assertTrue(peer.line().contains(" Onext "), "the first command on the connection");
                }
            }
        }
    }

    @Test
    void aConfigurationThatIsNoObjectIsToldInOneLine() {
        for (String text : List.of("null", "[]", "3", "")) {
            assertThrows(ConfigException.class, () -> Json.parse(text.getBytes()), text);
        }
    }
}
