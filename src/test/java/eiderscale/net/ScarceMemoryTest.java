package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against connections that wait for nothing that could come while the memory is used up. */
class ScarceMemoryTest {
    private static final int VALUE_BYTES = 60_000;
    private static final String VALUE = "v".repeat(VALUE_BYTES);
    private static final int HOLDERS = 10;
    /** How 64 sockets are divided: 21 of them are for clients. */
    private static final int MAX_SOCKETS = 64;
    private static final int MAX_CLIENT_CONNECTIONS = 21;

    private final CountDownLatch writesReleased = new CountDownLatch(1);
    private final List<LineSocket> clients = new ArrayList<>();

    @AfterEach
    void closeClients() throws Exception {
        for (LineSocket client : clients) {
            client.close();
        }
    }

    /** Responds to reads at once, and to writes when the test releases them. */
    private BalancerFixture startWithLittleMemory() throws Exception {
        BalancerFixture fixture = new BalancerFixture(FakeHost.responding(command -> command.startsWith("mg")
                ? FakeHost.responseTo(command) : FakeHost.responseAfter(writesReleased, command)));
        fixture.maxSockets = MAX_SOCKETS;
        // Room for the holders' values and little more: over 80 % is in use.
        fixture.memoryBudgetBytes = (HOLDERS + 2L) * VALUE_BYTES;
        return fixture.start();
    }

    /** Uses up the memory by writes in progress, each on a connection of its own. */
    private void useUpMemory(BalancerFixture fixture) throws Exception {
        for (int i = 0; i < HOLDERS; i++) {
            LineSocket holder = fixture.connectClient();
            clients.add(holder);
            holder.write("ms 1 60000 Oh" + i + " Pc=copy,t=acme,d=9000\r\n" + VALUE + "\r\n");
            assertTrue(fixture.hosts.get(0).awaitCommand() != null);
        }
    }

    /** Case 7: a connection above the connection limit was neither served nor ended after its first request. */
    @Test
    void connectionAboveTheLimitIsEndedAfterItsRejection() throws Exception {
        try (BalancerFixture fixture = startWithLittleMemory()) {
            useUpMemory(fixture);
            for (int i = HOLDERS; i < MAX_CLIENT_CONNECTIONS; i++) {
                LineSocket client = fixture.connectClient();
                clients.add(client);
                assertEquals("MN", client.request("mn"));
            }
            LineSocket overLimit = fixture.connectClient();
            clients.add(overLimit);
            assertEquals("SERVER_ERROR busy", overLimit.request(BalancerFixture.READ));
            assertEquals(null, overLimit.readLine(), "the client may connect anew");
            writesReleased.countDown();
        }
    }

    /** Case 8: of what a client had sent at once, the part that was undecoded at a stop was never answered. */
    @Test
    void stopAnswersAllThatWasSentAtOnce() throws Exception {
        int reads = 20;
        try (BalancerFixture fixture = startWithLittleMemory()) {
            useUpMemory(fixture);
            LineSocket client = fixture.connectClient();
            clients.add(client);
            StringBuilder commands = new StringBuilder("ms 1 5 Ow Pc=put,t=acme,d=9000,k=1\r\nhello\r\n");
            for (int i = 0; i < reads; i++) {
                commands.append("mg ").append(i).append(" v O").append(i).append(" Pc=read,t=acme,d=9000\r\n");
            }
            client.write(commands.toString());
            assertTrue(fixture.hosts.get(0).awaitCommand() != null);
            fixture.eventLoop.submit(fixture.node::stop).get();
            ServingTest.awaitGauges(fixture, "shed " + reads + " ");
            writesReleased.countDown();
            assertEquals("HD Ow c77", client.readLine());
            for (int i = 0; i < reads; i++) {
                assertEquals("SERVER_ERROR busy", client.readLine(), "read " + i);
            }
            assertEquals(null, client.readLine());
        }
    }
}
