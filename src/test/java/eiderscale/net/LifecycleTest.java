package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a graceful stop that loses accepted requests or turns clients away too early, and against a process
 * that does not warm up, reload its configuration or exit as it should.
 */
class LifecycleTest {
    @TempDir
    Path directory;

    @Test
    void stopServesNewClientsForAWhileAndCompletesOpenRequests() throws Exception {
        String value = "v".repeat(MetaFrame.MAX_VALUE_BYTES);
        FakeHost[] host = new FakeHost[1];
        host[0] = new FakeHost(connection -> {
            String command = host[0].readCommand(connection);
            while (command != null) {
                if (command.contains(" Olong ")) {
                    try {
                        Thread.sleep(1_500);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                connection.write(FakeHost.valueResponse(command, value));
                command = host[0].readCommand(connection);
            }
        });
        try (BalancerFixture fixture = new BalancerFixture(host).start();
                LineSocket idle = fixture.connectClient();
                LineSocket busy = fixture.connectClientWithSmallBuffer()) {
            assertEquals("MN", idle.request("mn"));
            busy.write("mg 1 v Olong Pc=read,t=acme,d=9000\r\n");
            host[0].awaitCommand();
            Future<?> stopped = fixture.eventLoop.submit(fixture.node::stop).get();
            try (LineSocket newClient = fixture.connectClient()) {
                assertEquals("VA 65536 O1", newClient.request(BalancerFixture.READ),
                        "new clients are served for a while");
                newClient.readData(value.length());
                assertEquals(null, newClient.readLine(), "closed when idle");
            }
            assertEquals(null, idle.readLine());
            assertFalse(stopped.isDone(), "a request is still open");
            assertEquals("VA 65536 Olong", busy.readLine());
            assertEquals(value, busy.readData(value.length()), "complete, although the connection is then closed");
            assertEquals(null, busy.readLine());
            assertTrue(stopped.await(LineSocket.TIMEOUT_MS));
            assertThrows(IOException.class, fixture::connectClient);
        }
    }

    @Test
    void processServesAfterSighupAndExitsWithZeroOnSigterm() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving());
                BalancerProcess process = new BalancerProcess(directory, fixture, null).startAndAwaitServing()) {
            assertTrue(hasWarmedUp(process), "the first clients must not wait for the JIT");
            try (LineSocket client = process.connectClient()) {
                assertEquals("MN", client.request("mn"));
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
                changeDiscoveryAddressBySighup(process, fixture);
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE), "served after SIGHUP");
                process.sendSignal("TERM");
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE),
                        "served after SIGTERM too");
                client.awaitPeerClose();
            }
            assertEquals(0, process.awaitExit());
        }
    }

    /** Whether the process has warmed up without wrong answers. */
    private static boolean hasWarmedUp(BalancerProcess process) {
        return process.log().stream()
                .anyMatch(line -> line.contains("warm-up took") && line.endsWith("wrong answers: 0"));
    }

    @Test
    void processSkipsWarmUpWhenFewRequestsAreAllowed() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving())) {
            fixture.allowedRequestsPerSecond = 100;
            try (BalancerProcess process = new BalancerProcess(directory, fixture, null).startAndAwaitServing()) {
                assertFalse(hasWarmedUp(process));
                process.sendSignal("TERM");
                assertEquals(0, process.awaitExit());
            }
        }
    }

    /** Changes discovery's address in the configuration, sends SIGHUP and waits for a call to the new address. */
    private void changeDiscoveryAddressBySighup(BalancerProcess process, BalancerFixture fixture) throws Exception {
        CountDownLatch called = new CountDownLatch(1);
        FakeHost newDiscovery = new FakeHost(connection -> {
            connection.readLine();
            called.countDown();
        });
        fixture.hosts.add(newDiscovery);
        fixture.discoveryEndpoint = newDiscovery.endpoint();
        process.reload();
        assertTrue(called.await(LineSocket.TIMEOUT_MS, TimeUnit.MILLISECONDS), "no call to the new address");
    }

    @Test
    void missingOrInvalidConfigurationExitsWithOneLogLine() throws Exception {
        Path invalidFile = Files.writeString(directory.resolve("broken.json"), "{\"listen\":");
        for (String config : new String[] {
            null, directory.resolve("missing.json").toString(), invalidFile.toString()}) {
            try (BalancerFixture fixture = new BalancerFixture();
                    BalancerProcess process = new BalancerProcess(directory, fixture, null).startWithConfig(config)) {
                assertEquals(1, process.awaitExit());
                assertEquals(1, process.log().size());
            }
        }
    }

    @Test
    void processExitsWhenItsListenAddressIsInUse() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture();
                ServerSocket portInUse = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                BalancerProcess process =
                        new BalancerProcess(directory, fixture, null, portInUse.getLocalPort()).start()) {
            assertEquals(1, process.awaitExit());
            assertEquals(1, process.log().stream().filter(line -> line.contains("cannot start")).count());
        }
    }
}
