package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against hundreds of clients that make the balancer hold more, once decoded, than their bytes on the wire: it
 * exceeded its memory or stopped serving. The balancer runs as a process with the options of the deploy file.
 */
class ManyClientsMemoryTest {
    /** Most descriptors that a site gives; about 400 of them are for client connections. */
    private static final int MANY_SOCKETS = 1_024;
    private static final int MANY_CLIENTS = 390;
    /** The least descriptors that a site gives. */
    private static final int FEW_SOCKETS = 256;
    private static final int FEW_CLIENTS = 70;
    /** Memory limit of the process. */
    private static final long MEMORY_LIMIT_KB = 144 * 1024;
    private static final int SOUND_CLIENTS = 8;
    /** How long the hosts take for the commands of others than the sound clients. */
    private int hostDelayMs = 300;
    private int loadMs = 3_000;
    private int connectIntervalMs;
    private static final String PUT = "ms 1 60000 Ow%d Pc=put,t=acme,d=1500,k=%d";

    private static final String LONG_PUT = "ms 1 5 Ow%d Pc=put,t=acme,d=5000,k=%d";

    @TempDir
    private Path directory;
    private String testName;
    private final List<LineSocket> clients = new ArrayList<>();

    @BeforeEach
    void noteName(TestInfo test) {
        testName = test.getDisplayName();
    }

    /** Responds to the sound clients at once, and to others after a delay. */
    private FakeHost newHost() throws IOException {
        return FakeHost.responding(command -> {
            if (!command.contains(" Os")) {
                try {
                    Thread.sleep(hostDelayMs);
                } catch (InterruptedException e) {
                    return null;
                }
            }
            return FakeHost.responseTo(command);
        });
    }

    /** Has many clients send what {@code input} gives for each, in pieces, and checks the balancer meanwhile. */
    private void checkSoundClientsAreServed(int sockets, int clientCount, int pieceBytes, IntFunction<String> input)
            throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(newHost(), newHost(), newHost(), newHost())) {
            fixture.maxSockets = sockets;
            try (BalancerProcess process = new BalancerProcess(directory, fixture, null).startAndAwaitServing();
                    SoundClients sound = new SoundClients(process, SOUND_CLIENTS)) {
                Thread.sleep(300);
                for (int i = 0; i < clientCount; i++) {
                    startSending(process, input.apply(i), pieceBytes);
                    Thread.sleep(connectIntervalMs);
                }
                Thread.sleep(loadMs);
                sound.stop();
                System.out.println(testName + ": " + sound + ", peak memory " + process.peakMemoryKb() + " KiB");
                assertTrue(process.isAlive(), "the process has ended: " + process.log());
                assertFalse(process.hasLogged("OutOfMemoryError"), "" + process.log());
                assertEquals(0, sound.lost.get(), "requests without a reply; " + sound);
                assertTrue(sound.served.get() > 0, "" + sound);
                assertTrue(process.peakMemoryKb() <= MEMORY_LIMIT_KB, "peak memory in KiB: " + process.peakMemoryKb());
            }
        } finally {
            for (LineSocket client : clients) {
                client.close();
            }
        }
    }

    /** Connects a client that reads all replies and sends the text in pieces of that size. */
    private void startSending(BalancerProcess process, String text, int pieceBytes) throws IOException {
        LineSocket client = process.connectClient();
        clients.add(client);
        FakeHost.startThread(client::discardInput);
        FakeHost.startThread(() -> {
            for (int sent = 0; sent < text.length(); sent += pieceBytes) {
                client.write(text.substring(sent, Math.min(text.length(), sent + pieceBytes)));
                if (pieceBytes < text.length()) {
                    pause();
                }
            }
        });
    }

    private static void pause() {
        try {
            Thread.sleep(2);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A read with so many short parameters that its line is as long as a line may be. */
    private static String readWithManyParameters(int number) {
        String start = "mg 1 v O" + number + " Pc=read,t=acme,d=1500";
        return start + ",a".repeat((MetaParser.MAX_LINE_BYTES - start.length() - 2) / 2) + "\r\n";
    }

    /** A read whose line is as long as a line may be, with one short flag after the other. */
    private static String readWithManyFlags(int number) {
        String start = "mg 1 O" + number + " Pc=read,t=acme,d=1500";
        return start + " v".repeat((MetaParser.MAX_LINE_BYTES - start.length() - 2) / 2) + "\r\n";
    }

    private static String writeWithManyFlags(int number) {
        String start = String.format(PUT, number, number);
        return start + " O1".repeat((MetaParser.MAX_LINE_BYTES - start.length() - 2) / 3) + "\r\n";
    }

    private static String repeat(int count, IntFunction<String> command) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(command.apply(i));
        }
        return text.toString();
    }

    /**
     * Case 6: a pass over the input of a connection queued a rejection for each of some 700,000 lines, the heap ran out,
     * and decoding went on into the next failure, so that no client was answered any more.
     */
    @Test
    void invalidLinesBehindPendingWritesOfElevenClients() throws Exception {
        hostDelayMs = 4_900;
        loadMs = 5_000;
        connectIntervalMs = 300;
        checkSoundClientsAreServed(MANY_SOCKETS, 11, Integer.MAX_VALUE, i -> String.format(LONG_PUT, i, i)
                + "\r\nhello\r\n" + (i < 10 ? "hello y\r\n".repeat(66_000) : "\n".repeat(700_000)));
    }

    /** Commands were decoded to lists of their fields, some 57 KB for each line of 2 KB, and none of it was counted. */
    @Test
    void readsOfManyFlags() throws Exception {
        checkSoundClientsAreServed(MANY_SOCKETS, MANY_CLIENTS, Integer.MAX_VALUE,
                i -> repeat(64, ManyClientsMemoryTest::readWithManyFlags));
    }

    /** A request in progress held its parameters one by one, and counted as 1 KiB. */
    @Test
    void readsOfManyParameters() throws Exception {
        checkSoundClientsAreServed(MANY_SOCKETS, MANY_CLIENTS, Integer.MAX_VALUE,
                i -> repeat(64, ManyClientsMemoryTest::readWithManyParameters));
    }

    @Test
    void readsOfManyParametersAtTheLeastDescriptors() throws Exception {
        checkSoundClientsAreServed(FEW_SOCKETS, FEW_CLIENTS, Integer.MAX_VALUE,
                i -> repeat(64, ManyClientsMemoryTest::readWithManyParameters));
    }

    /** The fields of a write's line were held while its value was awaited. */
    @Test
    void writesOfManyFlagsThatStopBeforeTheirValue() throws Exception {
        checkSoundClientsAreServed(MANY_SOCKETS, MANY_CLIENTS, Integer.MAX_VALUE,
                ManyClientsMemoryTest::writeWithManyFlags);
    }

    @Test
    void writesThatStopBeforeTheirEnd() throws Exception {
        checkSoundClientsAreServed(MANY_SOCKETS, MANY_CLIENTS, Integer.MAX_VALUE,
                i -> String.format(PUT, i, i) + "\r\n" + "v".repeat(59_000));
    }

    @Test
    void writesThatArriveSlowly() throws Exception {
        checkSoundClientsAreServed(MANY_SOCKETS, MANY_CLIENTS, 100,
                i -> String.format(PUT, i, i) + "\r\n" + "v".repeat(59_000));
    }

    /** The values of commands that were decoded and not processed yet were in no account. */
    @Test
    void manyLongWritesAtOnce() throws Exception {
        checkSoundClientsAreServed(MANY_SOCKETS, MANY_CLIENTS, Integer.MAX_VALUE,
                i -> repeat(16, j -> String.format(PUT, j, j) + "\r\n" + "v".repeat(60_000) + "\r\n"));
    }

    @Test
    void manyLongWritesAtOnceAtTheLeastDescriptors() throws Exception {
        checkSoundClientsAreServed(FEW_SOCKETS, FEW_CLIENTS, Integer.MAX_VALUE,
                i -> repeat(16, j -> String.format(PUT, j, j) + "\r\n" + "v".repeat(60_000) + "\r\n"));
    }

    /** Each of many short invalid commands has an entry of its own while the reply before it is awaited. */
    @Test
    void manyInvalidCommandsBehindAPendingRead() throws Exception {
        checkSoundClientsAreServed(MANY_SOCKETS, MANY_CLIENTS, Integer.MAX_VALUE,
                i -> "mg 1 v O1 Pc=read,t=acme,d=1500\r\n" + "x\r\n".repeat(1_500));
    }
}
