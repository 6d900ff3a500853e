package eiderscale.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Runs the adapter on whole inputs and checks reply frames, exit status and error messages; and checks the parsing of
 * settings.
 *
 * <p>Offsets count from the start of a frame: 4 bytes of length prefix and 12 bytes of body header come before the
 * first event record, at 16. Field offsets within a record are listed in {@link Adapter}.
 */
class AdapterTest {
    /** Settings of one request class, with a key that the parser does not know. */
    private static final String SETTINGS_TEXT = """
            categories.count=1
            categories.0.deadline-ns=2500000000
            categories.0.effect=retryable
            categories.0.goal-time-ns=1200000000
            ceilings.max-attempts=3
            ceilings.may-duplicate=true
            some.unknown-key=7
            n-instances=1
            """;
    private static final long NOW_NS = 5_000_000_000L;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    /** Runs the adapter until the end of the input; returns its exit status. */
    private int serve(byte[] input) {
        return Main.serve(new ByteArrayInputStream(input), output,
                new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    /** A frame with its header filled in, and with records and payload section of zeros. */
    private static ByteBuffer allocateFrame(int recordCount, int payloadBytes) {
        int bodyLength = 12 + recordCount * Adapter.EVENT_RECORD_BYTES + payloadBytes;
        ByteBuffer frame = ByteBuffer.allocate(4 + bodyLength).order(ByteOrder.LITTLE_ENDIAN);
        return frame.putInt(0, bodyLength).putInt(4, recordCount).putLong(8, NOW_NS);
    }

    /** One frame: balancer 3 starts, list 4 with one server is sent and applied, and request 4242 arrives. */
    private static byte[] startListAndRequestFrame() {
        byte[] settings = SETTINGS_TEXT.getBytes(StandardCharsets.UTF_8);
        ByteBuffer frame = allocateFrame(4, settings.length + 24);
        int payloadStart = 16 + 4 * Adapter.EVENT_RECORD_BYTES;
        frame.position(payloadStart);
        frame.put(settings);
        // The server entry: address, port and zone; the remaining fields are 0.
        frame.put(new byte[] {10, 11, 12, 13}).putShort((short) 5003).putShort((short) 0);
        int recordOffset = 16;
        // Balancer starts: balancer id, seed, range of the settings text.
        frame.put(recordOffset, (byte) 7).putInt(recordOffset + 1, 3).putLong(recordOffset + 5, 99)
                .putInt(recordOffset + 13, 0).putInt(recordOffset + 17, settings.length);
        recordOffset += Adapter.EVENT_RECORD_BYTES;
        // Server list: list number, range of the server entries.
        frame.put(recordOffset, (byte) 0).put(recordOffset + 1, (byte) 4)
                .putInt(recordOffset + 2, settings.length).putInt(recordOffset + 6, 1);
        recordOffset += Adapter.EVENT_RECORD_BYTES;
        // List update: balancer id, list mode CACHED, list number.
        frame.put(recordOffset, (byte) 6).putInt(recordOffset + 1, 3)
                .put(recordOffset + 5, (byte) 2).put(recordOffset + 14, (byte) 4);
        recordOffset += Adapter.EVENT_RECORD_BYTES;
        // Request: balancer id, request id, key, deadline.
        frame.put(recordOffset, (byte) 10).putInt(recordOffset + 1, 3).putLong(recordOffset + 5, 4242)
                .putLong(recordOffset + 19, 77).putLong(recordOffset + 27, NOW_NS + 2_000_000_000L);
        return frame.array();
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() {
        assertEquals(0, serve(allocateFrame(0, 0).array()));
        assertArrayEquals(new byte[] {4, 0, 0, 0, 0, 0, 0, 0}, output.toByteArray());
    }

    @Test
    void aRequestIsForwardedToTheListedServer() {
        assertEquals(0, serve(startListAndRequestFrame()));
        ByteBuffer reply = ByteBuffer.wrap(output.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(output.size() - 4, reply.getInt(0));
        assertEquals(2, reply.getInt(4), "one send action and one timer action");
        // The send action: action code, balancer id, request id, time at which to abandon it, address and port.
        assertEquals(67, reply.get(8));
        assertEquals(3, reply.getInt(9));
        assertEquals(4242, reply.getLong(13));
        assertEquals(NOW_NS + 1_200_000_000L, reply.getLong(21));
        assertArrayEquals(new byte[] {10, 11, 12, 13}, Arrays.copyOfRange(output.toByteArray(), 29, 33));
        assertEquals(5003, reply.getShort(33));
    }

    @Test
    void outcomesAndTimersOfUnknownRequestsAreIgnored() {
        ByteBuffer secondFrame = allocateFrame(2, 0);
        // An attempt of request 999 ended with outcome code 200 (OK); then a timer that was never set is due.
        secondFrame.put(16, (byte) 2).putInt(17, 3).putLong(21, 999).putShort(37, (short) 200);
        secondFrame.put(16 + Adapter.EVENT_RECORD_BYTES, (byte) 1).putInt(17 + Adapter.EVENT_RECORD_BYTES, 3);
        byte[] firstFrame = startListAndRequestFrame();
        byte[] input = Arrays.copyOf(firstFrame, firstFrame.length + secondFrame.capacity());
        System.arraycopy(secondFrame.array(), 0, input, firstFrame.length, secondFrame.capacity());
        assertEquals(0, serve(input));
        assertEquals("", errors.toString(StandardCharsets.UTF_8));
    }

    @Test
    void cleanEndOfInputExitsZero() {
        assertEquals(0, serve(new byte[0]));
        assertEquals(0, output.size());
    }

    @Test
    void endOfInputInsideAFrameIsAnError() {
        byte[] completeFrame = startListAndRequestFrame();
        assertMalformed(Arrays.copyOf(completeFrame, completeFrame.length - 1), "end of input inside a frame body");
        assertMalformed(Arrays.copyOf(completeFrame, 3), "end of input inside the length prefix");
    }

    @Test
    void outOfRangeLengthsCodesAndOffsetsAreErrors() {
        assertMalformed(allocateFrame(0, 0).putInt(0, -1).array(), "frame length out of range");
        assertMalformed(allocateFrame(0, 0).putInt(0, 5).array(), "frame length out of range");
        assertMalformed(allocateFrame(1, 0).putInt(4, 1_000_000).array(), "cannot hold");
        assertMalformed(allocateFrame(1, 0).put(16, (byte) 99).array(), "event code 99");
        assertMalformed(allocateFrame(1, 0).put(16, (byte) 1).putInt(17, 8).array(), "has not started");
        assertMalformed(allocateFrame(1, 0).put(16, (byte) 0).putInt(18, 8).putInt(22, 50_000_000).array(),
                "past the end");
        assertMalformed(allocateFrame(1, 0).put(16, (byte) 0).put(17, (byte) 200).array(),
                "list number out of range: 200");
        assertMalformed(ByteBuffer.wrap(startListAndRequestFrame()).order(ByteOrder.LITTLE_ENDIAN)
                .put(16 + 2 * Adapter.EVENT_RECORD_BYTES + 5, (byte) 9).array(), "list mode 9");
        assertMalformed(ByteBuffer.wrap(startListAndRequestFrame()).order(ByteOrder.LITTLE_ENDIAN)
                .putShort(16 + 3 * Adapter.EVENT_RECORD_BYTES + 13, (short) 40).array(), "request class 40");
    }

    /** Asserts that the input leads to exit status 1 and to an error message of malformed input with this text. */
    private void assertMalformed(byte[] input, String expectedText) {
        errors.reset();
        assertEquals(1, serve(input));
        String message = errors.toString(StandardCharsets.UTF_8);
        assertTrue(message.contains("malformed") && message.contains(expectedText), message);
    }

    /** Randomly changed bytes lead to exit status 0 or to an error message, never to a hang or an exception. */
    @Test
    void randomlyCorruptedInputEndsInAnExitStatus() {
        assertTimeoutPreemptively(Duration.ofSeconds(30), () -> {
            Random random = new Random(5);
            for (int round = 0; round < 5000; round++) {
                byte[] corruptedFrame = startListAndRequestFrame();
                for (int bytesToCorrupt = 1 + random.nextInt(6); bytesToCorrupt > 0; bytesToCorrupt--) {
                    corruptedFrame[random.nextInt(corruptedFrame.length)] = (byte) random.nextInt();
                }
                errors.reset();
                int exitStatus = serve(corruptedFrame);
                assertEquals(exitStatus != 0, errors.size() > 0);
                output.reset();
            }
        });
    }

    @Test
    void missingSettingsGetSafeDefaults() {
        Api.Settings settings = SettingsParser.parse("categories.count=1\n");
        assertEquals(Api.Effect.NON_IDEMPOTENT, settings.requestClasses().get(0).effect());
        assertEquals(1, settings.maxAttempts());
        assertTrue(!settings.mayHedge() && !settings.mayCancel() && !settings.isCacheAside());
    }

    @Test
    void invalidNumericSettingsAreErrors() {
        for (String line : new String[] {"categories.count=x", "rank=NaN", "guarantees.tip-multiple=Infinity",
            "categories.count=-1", "guarantees.resend-span-ns=soon"}) {
            assertThrows(MalformedInputException.class,
                    () -> SettingsParser.parse("n-instances=1\n" + line + "\n"), line);
        }
    }

    @Test
    void anEmptyRetryBudgetAllowsNoRetriesAndAMissingOneIsNull() {
        assertEquals(null, SettingsParser.parse("categories.count=1\n").retryBudget());
        Api.RetryBudget emptyBudget =
                SettingsParser.parse("categories.count=1\nguarantees.repeat-ratio=\n").retryBudget();
        assertEquals(0, emptyBudget.minRetries() + emptyBudget.retryRatio());
        assertTrue(SettingsParser.parse("guarantees.key-quiet-ns=\n").keyCooldownNs() > 0,
                "an empty key-quiet-ns gets the default");
    }

    /**
     * A repeat that was sent just within the deduplication window reached its host after it, where its connection had
     * to be established first. The connect timeout is subtracted so that repeats arrive within the window.
     */
    @Test
    void dedupWindowIsReducedByTheConnectTimeout() {
        String settingsText = "categories.count=2\ncategories.0.window-ns=1500000000\ncategories.1.window-ns=100\n"
                + "ceilings.connect-timeout-ns=200000000\n";
        assertEquals(1_300_000_000L, SettingsParser.parse(settingsText).requestClasses().get(0).dedupWindowNs());
        assertEquals(0, SettingsParser.parse(settingsText).requestClasses().get(1).dedupWindowNs());
    }

    @Test
    void unknownServerStatesAndOutcomesAreErrors() {
        byte[] frameWithBadState = startListAndRequestFrame();
        frameWithBadState[16 + 4 * Adapter.EVENT_RECORD_BYTES + SETTINGS_TEXT.length() + 11] = 9;
        assertMalformed(frameWithBadState, "server state 9");
        ByteBuffer secondFrame = allocateFrame(1, 0);
        secondFrame.put(16, (byte) 2).putInt(17, 3).putLong(21, 4242).putShort(37, (short) 299);
        byte[] firstFrame = startListAndRequestFrame();
        byte[] input = Arrays.copyOf(firstFrame, firstFrame.length + secondFrame.capacity());
        System.arraycopy(secondFrame.array(), 0, input, firstFrame.length, secondFrame.capacity());
        assertMalformed(input, "outcome code 299");
    }
}
