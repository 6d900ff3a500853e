package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.IntFunction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against one client that sends small commands at full speed on one connection: others got their replies late
 * or never, or memory grew without end. The balancer runs as a process with the options of the deploy file.
 */
class FloodingClientTest {
    private static final int SOUND_CLIENTS = 8;
    private static final int FLOOD_MS = 2_000;
    /** Commands that the client sends with one call. */
    private static final int COMMANDS_PER_WRITE = 1_000;
    /** A reply later than this is worth nothing to any class of any site. */
    private static final int LATE_AFTER_MS = SoundClients.TIMEOUT_MS;
    private static final int ALLOWED_REQUESTS_PER_SECOND = 1_000;

    @TempDir
    private Path directory;
    private String testName;

    @BeforeEach
    void noteName(TestInfo test) {
        testName = test.getDisplayName();
    }

    /** Has a client send these commands, numbered on, and read all replies or none, and checks others meanwhile. */
    private void checkSoundClientsAreServed(boolean readsReplies, IntFunction<String> command) throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving(), FakeHost.serving())) {
            fixture.allowedRequestsPerSecond = ALLOWED_REQUESTS_PER_SECOND;
            try (BalancerProcess process = new BalancerProcess(directory, fixture, null).startAndAwaitServing();
                    SoundClients sound = new SoundClients(process, SOUND_CLIENTS);
                    LineSocket flooding = process.connectClient()) {
                Thread.sleep(300);
                flood(flooding, readsReplies, command);
                Thread.sleep(FLOOD_MS);
                sound.stop();
                System.out.println(testName + ": " + sound + ", peak memory " + process.peakMemoryKb() + " KiB");
                assertTrue(process.isAlive(), "the process has ended: " + process.log());
                assertFalse(process.hasLogged("OutOfMemoryError"), "" + process.log());
                assertEquals(0, sound.lost.get(), "requests without a reply; " + sound);
                assertTrue(sound.slowestMs.get() < LATE_AFTER_MS, "" + sound);
                assertTrue(sound.served.get() > sound.notServed.get(), "" + sound);
            }
        }
    }

    private static void flood(LineSocket client, boolean readsReplies, IntFunction<String> command) {
        if (readsReplies) {
            FakeHost.startThread(client::discardInput);
        }
        FakeHost.startThread(() -> {
            for (int first = 0; ; first += COMMANDS_PER_WRITE) {
                StringBuilder commands = new StringBuilder();
                for (int i = 0; i < COMMANDS_PER_WRITE; i++) {
                    commands.append(command.apply(first + i));
                }
                client.write(commands.toString());
            }
        });
    }

    @Test
    void emptyLines() throws Exception {
        checkSoundClientsAreServed(true, i -> "\n");
    }

    @Test
    void emptyLinesOfAClientThatReadsNothing() throws Exception {
        checkSoundClientsAreServed(false, i -> "\n");
    }

    @Test
    void emptyLinesBehindPendingReads() throws Exception {
        checkSoundClientsAreServed(true, i -> i % 100_000 == 0 ? read(i, 1_000) : "\r\n");
    }

    @Test
    void invalidCommandsUnderNewNames() throws Exception {
        checkSoundClientsAreServed(true, i -> "x" + i + "\r\n");
    }

    @Test
    void readsOfNewClassesAndTenants() throws Exception {
        checkSoundClientsAreServed(true, i -> "mg " + i + " v O" + i + " Pc=c" + i + ",t=t" + i + ",d=1000\r\n");
    }

    @Test
    void readinessProbes() throws Exception {
        checkSoundClientsAreServed(true, i -> "mn\r\n");
    }

    private static String read(int number, int timeoutMs) {
        return "mg k" + number + " v O" + number + " Pc=read,t=acme,d=" + timeoutMs + "\r\n";
    }

    @Test
    void readsOfNewKeys() throws Exception {
        checkSoundClientsAreServed(true, i -> read(i, 1_000));
    }

    @Test
    void readsOfNewKeysOfAClientThatReadsNothing() throws Exception {
        checkSoundClientsAreServed(false, i -> read(i, 1_000));
    }

    /** The time of each request was kept on its own for the window of the retry budget, in no account. */
    @Test
    void readsWhoseTimeIsOverAtOnce() throws Exception {
        checkSoundClientsAreServed(true, i -> read(i, 0));
    }

    @Test
    void readsWithATimeOfAnHour() throws Exception {
        checkSoundClientsAreServed(true, i -> read(i, 3_600_000));
    }

    @Test
    void readsWithHardlyAnyTime() throws Exception {
        checkSoundClientsAreServed(true, i -> read(i, 7));
    }

    @Test
    void writesThatMustNotRunTwiceUnderNewNames() throws Exception {
        checkSoundClientsAreServed(true, i -> "ms k" + i + " 1 O" + i + " Pc=copy,t=acme,d=1000\r\nx\r\n");
    }

    @Test
    void longLines() throws Exception {
        checkSoundClientsAreServed(true, i -> "x".repeat(3_000) + "\r\n");
    }

    @Test
    void linesOfManyFields() throws Exception {
        checkSoundClientsAreServed(true, i -> "mg" + " v".repeat(1_000) + "\r\n");
    }
}
