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

/** The program as a process of its own: signals at odd moments end it in order, or change nothing. */
class SignalsTest {
    /** What a JVM ends with when SIGTERM comes before the program has asked to hear of it. */
    private static final int TERMINATED = 143;
    @TempDir
    private Path folder;
    private final CountDownLatch release = new CountDownLatch(1);
    private FakeHost host;
    private Rig rig;
    private BalancerProcess process;

    @BeforeEach
    void begin() throws IOException {
        host = FakeHost.answering(command -> FakeHost.servedAfter(release, command));
        rig = new Rig(host);
        process = new BalancerProcess(folder, rig, null);
    }

    @AfterEach
    void end() throws IOException {
        process.close();
        rig.close();
    }

    @Test
    void aStopAtOnceEndsIt() throws Exception {
        process.start();
        process.signal("TERM");
        int code = process.exit();
        assertTrue(code == 0 || code == TERMINATED, "ended with " + code);
    }

    /** More may come than cold code can take, so that it rehearses first, and says so before it listens. */
    @Test
    void aStopBetweenTheWarmUpAndListeningEndsIt() throws Exception {
        process.start();
        process.awaitLine("warm-up took");
        process.signal("TERM");
        int code = process.exit();
        assertTrue(code == 0 || code == TERMINATED, "ended with " + code);
    }

    @Test
    void aSecondStopAndAReloadDoNotCutTheFirstStopShort() throws Exception {
        process.start();
        process.awaitLine("serves on");
        try (Peer client = process.client()) {
            client.write(Rig.COPY + "\r\n");
            assertNotNull(host.command());
            process.signal("TERM");
            process.signal("HUP");
            process.signal("TERM");
            release.countDown();
            assertEquals("HD O2 c77", client.line(), "what was taken is answered");
            assertEquals(null, client.line());
        }
        assertEquals(0, process.exit());
    }

    @Test
    void aReloadThatCannotBeReadChangesNothing() throws Exception {
        process.start();
        process.awaitLine("serves on");
        release.countDown();
        Files.writeString(process.configFile(), "{");
        process.signal("HUP");
        process.awaitLine("keeping the current configuration");
        try (Peer client = process.client()) {
            assertEquals("HD O2 c77", client.ask(Rig.COPY));
        }
        process.signal("TERM");
        assertEquals(0, process.exit());
    }
}
