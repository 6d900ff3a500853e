package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
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
    private int port;
    private Process process;
    private BufferedReader log;

    @BeforeEach
    void begin() throws IOException {
        host = FakeHost.answering(command -> FakeHost.servedAfter(release, command));
        rig = new Rig(host);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
    }

    @AfterEach
    void end() throws IOException {
        process.destroyForcibly();
        rig.close();
    }

    private void start() throws IOException {
        Path config = folder.resolve("config.json");
        Files.writeString(config, rig.config("127.0.0.1:" + port));
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                "eiderscale.net.Main");
        builder.environment().put("GW_CONFIG", config.toString());
        process = builder.redirectErrorStream(true).start();
        log = new BufferedReader(new InputStreamReader(process.getInputStream()));
    }

    private void awaitLine(String part) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(part)) {
            line = log.readLine();
        }
        assertNotNull(line, "the log ended before: " + part);
    }

    private void signal(String name) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
    }

    /** Waits for the end, with the log read away so that nothing waits for room in its pipe. */
    private int exit() throws Exception {
        Thread drain = new Thread(() -> log.lines().forEach(line -> { }));
        drain.setDaemon(true);
        drain.start();
        assertTrue(process.waitFor(Peer.LIMIT_MS, TimeUnit.MILLISECONDS), "it does not end");
        return process.exitValue();
    }

    @Test
    void aStopAtOnceEndsIt() throws Exception {
        start();
        signal("TERM");
        int code = exit();
        assertTrue(code == 0 || code == TERMINATED, "ended with " + code);
    }

    /** More may come than cold code can take, so that it rehearses first, and says so before it listens. */
    @Test
    void aStopBetweenTheWarmUpAndListeningEndsIt() throws Exception {
        start();
        awaitLine("rehearsed in");
        signal("TERM");
        int code = exit();
        assertTrue(code == 0 || code == TERMINATED, "ended with " + code);
    }

    @Test
    void aSecondStopAndAReloadDoNotCutTheFirstStopShort() throws Exception {
        start();
        awaitLine("serves on");
        try (Peer client = new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
            client.write(Rig.COPY + "\r\n");
            assertNotNull(host.command());
            signal("TERM");
            signal("HUP");
            signal("TERM");
            release.countDown();
            assertEquals("HD O2 c77", client.line(), "what was taken is answered");
            assertEquals(null, client.line());
        }
        assertEquals(0, exit());
    }

    @Test
    void aReloadThatCannotBeReadChangesNothing() throws Exception {
        start();
        awaitLine("serves on");
        release.countDown();
        Files.writeString(folder.resolve("config.json"), "{");
        signal("HUP");
        awaitLine("the configuration stays as it was");
        try (Peer client = new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
            assertEquals("HD O2 c77", client.ask(Rig.COPY));
        }
        signal("TERM");
        assertEquals(0, exit());
    }
}
