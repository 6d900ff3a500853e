package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against lost requests when clients pipeline commands whose replies are long: the balancer runs as a process
 * with the memory limits of the deploy file.
 */
class PipeliningMemoryTest {
    private static final int HOSTS = 4;
    private static final int CLIENTS = 6;
    /** As many reads of one client as a connection may have commands in progress, less the write before them. */
    private static final int READS_PER_CLIENT = 63;
    private static final int SINGLE_REQUESTS = 5;
    private static final int VALUE_BYTES = MetaFrame.MAX_VALUE_BYTES;
    private static final String VALUE = "v".repeat(VALUE_BYTES);
    /** Released by a test to let the hosts respond to writes. */
    private final CountDownLatch writesReleased = new CountDownLatch(1);

    /** Responds to reads at once with a long value, and to writes when the test releases them. */
    private FakeHost newHost() throws Exception {
        return FakeHost.responding(command -> command.startsWith("mg") ? FakeHost.valueResponse(command, VALUE)
                : FakeHost.responseAfter(writesReleased, command));
    }

    private BalancerFixture newFixture() throws Exception {
        FakeHost[] hosts = new FakeHost[HOSTS];
        for (int i = 0; i < HOSTS; i++) {
            hosts[i] = newHost();
        }
        return new BalancerFixture(hosts);
    }

    /** Connects a client that sends a write and many reads at once. */
    private static LineSocket startPipeliningClient(BalancerProcess process) throws Exception {
        StringBuilder commands = new StringBuilder("ms 1 5 Ow Pc=put,t=acme,d=9000,k=1\r\nhello\r\n");
        for (int i = 0; i < READS_PER_CLIENT; i++) {
            commands.append("mg ").append(i).append(" v O").append(i).append(" Pc=read,t=acme,d=9000\r\n");
        }
        return process.connectClient().write(commands.toString());
    }

    /** Case 1: waiting replies used up the direct memory, and no client got a reply any more. */
    @Test
    void repliesThatWaitForEarlierOnesLeaveMemoryForOtherClients(@TempDir Path directory) throws Exception {
        List<LineSocket> clients = new ArrayList<>();
        try (BalancerFixture fixture = newFixture();
                BalancerProcess process = new BalancerProcess(directory, fixture, null).startAndAwaitServing()) {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(startPipeliningClient(process));
            }
            for (int i = 0; i < SINGLE_REQUESTS; i++) {
                try (LineSocket single = process.connectClient()) {
                    assertEquals("VA " + VALUE_BYTES + " O1", single.request(BalancerFixture.READ));
                    assertEquals(VALUE, single.readData(VALUE_BYTES));
                }
            }
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
    }

    /** Undecoded input of many clients at once used up the memory before its limits were looked at. */
    @Test
    void bufferedInputLeavesMemoryForOtherClients(@TempDir Path directory) throws Exception {
        List<LineSocket> clients = new ArrayList<>();
        String commands = "ms 1 5 Ow Pc=put,t=acme,d=9000,k=1\r\nhello\r\n"
                + "mg 1 v O1 Pc=read,t=acme,d=9000\r\n".repeat(15_000);
        try (BalancerFixture fixture = newFixture();
                BalancerProcess process = new BalancerProcess(directory, fixture, null).startAndAwaitServing()) {
            for (int i = 0; i < 100; i++) {
                LineSocket client = process.connectClient();
                clients.add(client);
                FakeHost.startThread(() -> client.write(commands));
            }
            for (int i = 0; i < SINGLE_REQUESTS; i++) {
                try (LineSocket single = process.connectClient()) {
                    assertEquals("VA " + VALUE_BYTES + " O1", single.request(BalancerFixture.READ));
                    assertEquals(VALUE, single.readData(VALUE_BYTES));
                }
            }
            assertFalse(process.hasLogged("OutOfMemoryError"), "" + process.log());
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
    }

    /** Case 2: connections of clients that read were closed once the replies of all had exceeded a limit together. */
    @Test
    void clientsThatReadGetAllRepliesHoweverManyWaited(@TempDir Path directory) throws Exception {
        List<LineSocket> clients = new ArrayList<>();
        try (BalancerFixture fixture = newFixture();
                BalancerProcess process = new BalancerProcess(directory, fixture, null).startAndAwaitServing()) {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(startPipeliningClient(process));
            }
            try (LineSocket single = process.connectClient()) {
                assertEquals("VA " + VALUE_BYTES + " O1", single.request(BalancerFixture.READ));
            }
            writesReleased.countDown();
            for (LineSocket client : clients) {
                assertEquals("HD Ow c77", client.readLine());
                for (int i = 0; i < READS_PER_CLIENT; i++) {
                    assertEquals("VA " + VALUE_BYTES + " O" + i, client.readLine());
                    assertEquals(VALUE, client.readData(VALUE_BYTES));
                }
            }
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
    }
}
