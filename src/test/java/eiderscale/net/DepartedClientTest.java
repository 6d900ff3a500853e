package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;

/**
 * Guards against attempts for a client that has closed its connection while much of what it sent was unread, and
 * against requests that run twice when they come again after that.
 */
class DepartedClientTest {
    private static final int HOST_DELAY_MS = 400;
    /** How long after the close an attempt may begin, with the slack that the protocol gives. */
    private static final long LATEST_ATTEMPT_MS = 100 + 50;
    /** How long attempts are looked for after the close. */
    private static final long OBSERVATION_MS = 2_000;
    private static final int LONG_VALUE_BYTES = 60_000;

    /** The arrival of a command at a host. */
    private record Arrival(String opaqueFlag, long atNs) {
    }

    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    private FakeHost newHost(FakeHost.Responses responses) throws IOException {
        return FakeHost.responding(command -> {
            arrivals.add(new Arrival(FakeHost.opaqueFlag(command), System.nanoTime()));
            pause(HOST_DELAY_MS);
            return responses.to(command);
        });
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private FakeHost newHost() throws IOException {
        return newHost(FakeHost::responseTo);
    }

    private static String reads(int count) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < count; i++) {
            commands.append("mg ").append(i).append(" v Oc").append(i).append(" Pc=read,t=acme,d=9000\r\n");
        }
        return commands.toString();
    }

    /** Sends on a thread of its own, as the balancer may not read all; returns once it has sent all or some time passed. */
    private static void send(LineSocket client, String commands, long waitMs) throws Exception {
        Thread sender = FakeHost.startThread(() -> client.write(commands));
        sender.join(waitMs);
    }

    /** Closes the connection and checks that none of its requests is sent to a host after that. */
    private void checkNoAttemptAfter(LineSocket client) throws Exception {
        assertTrue(countOf("Oc") > 0, "nothing was sent before the close");
        client.disconnect();
        long closedAt = System.nanoTime();
        Thread.sleep(OBSERVATION_MS);
        List<String> late = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            long afterCloseMs = (arrival.atNs - closedAt) / Clock.MILLISECOND;
            if (arrival.opaqueFlag.startsWith("Oc") && afterCloseMs > LATEST_ATTEMPT_MS) {
                late.add(arrival.opaqueFlag + " after " + afterCloseMs + " ms");
            }
        }
        assertEquals(List.of(), late);
    }

    private long countOf(String opaquePrefix) {
        return arrivals.stream().filter(arrival -> arrival.opaqueFlag.startsWith(opaquePrefix)).count();
    }

    /** Has many reads sent at once, and the client leave {@code waitMs} later. */
    private void checkClientThatLeaves(BalancerFixture fixture, int reads, long waitMs) throws Exception {
        try (fixture; LineSocket client = fixture.start().connectClient()) {
            send(client, reads(reads), waitMs);
            Thread.sleep(waitMs);
            checkNoAttemptAfter(client);
        }
    }

    @Test
    void afterAHundredReads() throws Exception {
        checkClientThatLeaves(new BalancerFixture(newHost(), newHost()), 150, 100);
    }

    @Test
    void afterTenThousandReads() throws Exception {
        checkClientThatLeaves(new BalancerFixture(newHost(), newHost()), 10_000, 100);
    }

    @Test
    void afterMoreReadsThanAreBuffered() throws Exception {
        checkClientThatLeaves(new BalancerFixture(newHost(), newHost()), 200_000, 300);
    }

    @Test
    void afterMoreReadsThanAreBufferedWhenSomeWereAnswered() throws Exception {
        checkClientThatLeaves(new BalancerFixture(newHost(), newHost()), 200_000, 600);
    }

    /** The end of a client was not seen while little memory was left and its input was not read. */
    @Test
    void whileMemoryIsScarce() throws Exception {
        BalancerFixture fixture = new BalancerFixture(newHost(), newHost());
        fixture.memoryBudgetBytes = 16L * LONG_VALUE_BYTES;
        String value = "v".repeat(LONG_VALUE_BYTES);
        try (fixture; LineSocket holder = fixture.start().connectClient();
                LineSocket client = fixture.connectClient()) {
            FakeHost.startThread(() -> {
                for (int i = 0; i < 60; i++) {
                    holder.write("ms 1 60000 Oh" + i + " Pc=put,t=acme,d=9000,k=" + i + "\r\n" + value + "\r\n");
                }
            });
            Await.until(() -> countOf("Oh") > 6, "writes in progress");
            send(client, reads(150), 100);
            Thread.sleep(100);
            checkNoAttemptAfter(client);
        }
    }

    /** A client that reads nothing of long replies is not read from. */
    @Test
    void withLongRepliesUnread() throws Exception {
        String value = "v".repeat(LONG_VALUE_BYTES);
        BalancerFixture fixture = new BalancerFixture(newHost(command -> FakeHost.valueResponse(command, value)));
        try (fixture; LineSocket client = fixture.start().connectClientWithSmallBuffer()) {
            send(client, reads(40_000), 1_500);
            Thread.sleep(500);
            checkNoAttemptAfter(client);
        }
    }

    /**
     * The reset by a client that leaves with replies unread was seen only after a second of failing writes while its input
     * was not read: attempts that failed were repeated meanwhile.
     */
    @Test
    void whenAttemptsFailAfterwardsWithLongRepliesUnread() throws Exception {
        String value = "v".repeat(LONG_VALUE_BYTES);
        FakeHost.Responses responses = command -> {
            if (command.startsWith("mg l")) {
                return FakeHost.valueResponse(command, value);
            }
            pause(HOST_DELAY_MS);
            return "SERVER_ERROR busy\r\n";
        };
        BalancerFixture fixture = new BalancerFixture(newHost(responses), newHost(responses), newHost(responses));
        try (fixture; LineSocket client = fixture.start().connectClientWithSmallBuffer()) {
            send(client, reads(40).replace("mg ", "mg l") + reads(60_000), HOST_DELAY_MS);
            Await.until(() -> countOf("Oc") > 40, "attempts behind those of the long replies");
            Thread.sleep(HOST_DELAY_MS + 150);
            checkNoAttemptAfter(client);
        }
    }

    /** Attempts that fail are repeated; not for a client that left with its end unread. */
    @Test
    void whenAttemptsFailAfterwards() throws Exception {
        BalancerFixture fixture = new BalancerFixture(newHost(command -> "SERVER_ERROR busy\r\n"),
                newHost(command -> "SERVER_ERROR busy\r\n"), newHost(command -> "SERVER_ERROR busy\r\n"));
        checkClientThatLeaves(fixture, 200_000, 250);
    }

    /** Sends a command, leaves while a host has it, sends it again from elsewhere; returns how often hosts got it. */
    private long timesRunWhenSentAgain(String command) throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(newHost(), newHost(), newHost()).start();
                LineSocket client = fixture.connectClient()) {
            client.write(command + "\r\n");
            Await.until(() -> !arrivals.isEmpty(), "an attempt");
            client.disconnect();
            ServingTest.awaitGauges(fixture, "open 0 ");
            try (LineSocket again = fixture.connectClient()) {
                String reply = again.request(command);
                assertTrue(reply.startsWith("HD ") || reply.startsWith("VA ") || reply.equals("SERVER_ERROR failed"),
                        "a refusal would promise that it has not run: " + reply);
            }
            return arrivals.size();
        }
    }

    /** A write that must not run twice ran again when its id came again after its client had left. */
    @Test
    void writeThatMustNotRunTwiceIsNotSentAgain() throws Exception {
        assertEquals(1, timesRunWhenSentAgain(BalancerFixture.NON_IDEMPOTENT_WRITE));
    }

    @Test
    void readAndDeduplicatedWriteAreSentAgain() throws Exception {
        assertEquals(2, timesRunWhenSentAgain(BalancerFixture.READ));
        arrivals.clear();
        assertEquals(2, timesRunWhenSentAgain(BalancerFixture.DEDUPLICATED_WRITE));
    }
}
