package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against signals at unusual moments that hang the process, abort its open requests or break its configuration:
 * during startup, during a graceful stop, and SIGHUP with an invalid configuration file.
 */
class SignalsTest {
    /** Exit code of a JVM that gets SIGTERM before the program has installed its handler. */
    private static final int SIGTERM_EXIT_CODE = 143;
    @TempDir
    private Path directory;
    private final CountDownLatch hostMayRespond = new CountDownLatch(1);
    private FakeHost host;
    private BalancerFixture fixture;
    private BalancerProcess process;

    @BeforeEach
    void setUp() throws IOException {
        host = FakeHost.responding(command -> FakeHost.responseAfter(hostMayRespond, command));
        fixture = new BalancerFixture(host);
        process = new BalancerProcess(directory, fixture, null);
    }

    @AfterEach
    void tearDown() throws IOException {
        process.close();
        fixture.close();
    }

    @Test
    void sigtermRightAfterStartEndsTheProcess() throws Exception {
        process.start();
        process.sendSignal("TERM");
        int exitCode = process.awaitExit();
        assertTrue(exitCode == 0 || exitCode == SIGTERM_EXIT_CODE, "exit code " + exitCode);
    }

    /** The allowance is high, so that the process warms up first; it logs that before it listens. */
    @Test
    void sigtermBetweenWarmUpAndListeningEndsTheProcess() throws Exception {
        process.start();
        process.awaitLogLine("warm-up took");
        process.sendSignal("TERM");
        int exitCode = process.awaitExit();
        assertTrue(exitCode == 0 || exitCode == SIGTERM_EXIT_CODE, "exit code " + exitCode);
    }

    @Test
    void furtherSignalsDuringAGracefulStopDoNotAbortOpenRequests() throws Exception {
        process.start();
        process.awaitLogLine("serves on");
        try (LineSocket client = process.connectClient()) {
            client.write(BalancerFixture.NON_IDEMPOTENT_WRITE + "\r\n");
            assertNotNull(host.awaitCommand());
            process.sendSignal("TERM");
            process.sendSignal("HUP");
            process.sendSignal("TERM");
            hostMayRespond.countDown();
            assertEquals("HD O2 c77", client.readLine(), "an accepted request gets its reply");
            assertEquals(null, client.readLine());
        }
        assertEquals(0, process.awaitExit());
    }

    @Test
    void reloadOfAnInvalidFileKeepsTheCurrentConfiguration() throws Exception {
        process.start();
        process.awaitLogLine("serves on");
        hostMayRespond.countDown();
        Files.writeString(process.configFile(), "{");
        process.sendSignal("HUP");
        process.awaitLogLine("keeping the current configuration");
        try (LineSocket client = process.connectClient()) {
            assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
        }
        process.sendSignal("TERM");
        assertEquals(0, process.awaitExit());
    }
}
