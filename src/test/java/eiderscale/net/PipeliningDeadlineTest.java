package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests that are given too much time because they waited behind others of their connection. */
class PipeliningDeadlineTest {
    /** Commands of one connection that are in progress at most. */
    private static final int WINDOW = 64;
    private static final int BUFFERED_COMMANDS = 10;
    private static final int TIMEOUT_MS = 15_000;
    /** How long the hosts hold the first commands, at least. */
    private static final long HOLD_MS = 400;
    /** What the stated time may exceed the client's by. */
    private static final int SLACK_MS = 150;
    /** A timeout that is over when the hosts respond. */
    private static final int SHORT_TIMEOUT_MS = 200;

    /** A module that forwards every request to the first host. */
    private static Api.Events forwardingModule(Api.Settings settings, long seed, Api.Actions moduleActions) {
        return new NoOpModule(moduleActions) {
            private long serverId;

            @Override
            public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
                serverId = servers.isEmpty() ? serverId : servers.get(0).id();
            }

            @Override
            public void onRequest(long now, Api.Request request) {
                actions.send(request.id(), serverId, 0);
            }
        };
    }

    private static String reads(String prefix, int count, int timeoutMs) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < count; i++) {
            commands.append("mg ").append(i).append(" v O").append(prefix).append(i).append(" Pc=read,t=acme,d=")
                    .append(timeoutMs).append("\r\n");
        }
        return commands.toString();
    }

    private static void assertServed(LineSocket client, String prefix, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            assertTrue(client.readLine().endsWith(" O" + prefix + i));
            client.readLine();
        }
    }

    /** Commands waited behind 64 others although nearly all of these had their response, until their time was over. */
    @Test
    void waitingRepliesDoNotHoldUpLaterCommands() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        FakeHost host = FakeHost.responding(command -> command.contains(" Ofirst")
                ? FakeHost.responseAfter(released, command) : FakeHost.responseTo(command));
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.moduleFactory = PipeliningDeadlineTest::forwardingModule;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write(reads("first", 1, TIMEOUT_MS) + reads("later", 5 * WINDOW, TIMEOUT_MS));
                for (int i = 0; i < 1 + 5 * WINDOW; i++) {
                    assertTrue(host.awaitCommand() != null, "while the first command is in progress: command " + i);
                }
                released.countDown();
                assertServed(client, "first", 1);
                assertServed(client, "later", 5 * WINDOW);
            }
        }
    }

    /** Commands behind 64 open ones were decoded in the last moments of a stop only, and some got no reply. */
    @Test
    void aStopAnswersManyCommandsBufferedBehindOpenOnes(@TempDir Path directory) throws Exception {
        int commands = 10_000;
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.responding(command -> null))) {
            fixture.requestDeadlineMs = 1_000;
            try (BalancerProcess process = new BalancerProcess(directory, fixture, null).startAndAwaitServing()) {
                List<LineSocket> clients = new ArrayList<>();
                for (int c = 0; c < 4; c++) {
                    clients.add(process.connectClient().write(reads("", commands, TIMEOUT_MS)));
                }
                for (int i = 0; i < WINDOW; i++) {
                    assertTrue(fixture.hosts.get(0).awaitCommand() != null);
                }
                process.sendSignal("TERM");
                for (LineSocket client : clients) {
                    for (int i = 0; i < commands; i++) {
                        String reply = client.readLine();
                        assertTrue(reply != null && reply.startsWith("SERVER_ERROR "), "command " + i + ": " + reply);
                    }
                    assertEquals(null, client.readLine());
                    client.close();
                }
                assertEquals(0, process.awaitExit());
            }
        }
    }

    /** Case 3: commands behind 64 open ones got their whole time anew when these had ended. */
    @Test
    void timeOfABufferedCommandRunsFromItsArrival() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        FakeHost host = FakeHost.responding(command -> FakeHost.responseAfter(released, command));
        try (BalancerFixture fixture = new BalancerFixture(host)) {
            fixture.moduleFactory = PipeliningDeadlineTest::forwardingModule;
            fixture.start();
            try (LineSocket client = fixture.connectClient()) {
                client.write(reads("first", WINDOW, TIMEOUT_MS) + reads("late", BUFFERED_COMMANDS, TIMEOUT_MS)
                        + reads("over", BUFFERED_COMMANDS, SHORT_TIMEOUT_MS) + reads("last", 1, TIMEOUT_MS));
                long sentAt = System.nanoTime();
                for (int i = 0; i < WINDOW; i++) {
                    host.awaitCommand();
                }
                Thread.sleep(HOLD_MS);
                long heldMs = (System.nanoTime() - sentAt) / Clock.MILLISECOND;
                released.countDown();
                assertServed(client, "first", WINDOW);
                assertServed(client, "late", BUFFERED_COMMANDS);
                for (int i = 0; i < BUFFERED_COMMANDS; i++) {
                    assertEquals("SERVER_ERROR busy", client.readLine(), "its time is over, and no attempt was made");
                }
                assertServed(client, "last", 1);
                for (int i = 0; i < BUFFERED_COMMANDS + 1; i++) {
                    String command = host.awaitCommand();
                    assertTrue(ServingTest.statedTimeoutMs(command) <= TIMEOUT_MS - heldMs + SLACK_MS,
                            command + " after " + heldMs + " ms");
                }
            }
        }
    }
}
