package eiderscale.sim;

import eiderscale.Api;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/**
 * Collects the actions of one batch of events in a reply frame.
 *
 * <p>All numbers are little-endian; times are nanoseconds. A reply frame is a header and action records of 32 bytes
 * each; the header holds the length of the rest of the frame (4 bytes) and the number of records (4 bytes). Byte 0
 * of a record is its action code, bytes 1-4 are the balancer id. The other fields, with their offsets within the
 * record:
 * <pre>
 *  64  subscribe to the server list  5 always 1
 *  65  fail a request                5 request id
 *  67  send an attempt               5 request id, 13 time at which to abandon it, 21 server address, 25 server port
 *  68  set a timer                   5 due time, 13 token
 *  72  close idle connections        5 server address, 9 server port
 *  74  cancel an attempt             5 request id, 13 attempt
 *  75  refuse a request              5 request id, 13 retry-after time
 * </pre>
 *
 * <p>Request ids and times have 8 bytes, tokens and server addresses 4, attempts and ports 2.
 *
 * <p>The buffer grows as needed and is reused for the next frame.
 */
final class ReplyWriter {
    /** Length field and number of records. */
    static final int HEADER_BYTES = 8;
    /** Size of an action record, whatever its action code. */
    static final int ACTION_RECORD_BYTES = 32;
    /** Action codes, byte 0 of a record. */
    private static final byte ACTION_SUBSCRIBE = 64;
    private static final byte ACTION_FAIL = 65;
    private static final byte ACTION_SEND = 67;
    private static final byte ACTION_SET_TIMER = 68;
    private static final byte ACTION_CLOSE_IDLE = 72;
    private static final byte ACTION_CANCEL = 74;
    private static final byte ACTION_REFUSE = 75;

    /** Header and records of the current frame; {@link #frameBuffer} is a view of it. */
    private byte[] frameBytes = new byte[1 << 16];
    private ByteBuffer frameBuffer = ByteBuffer.wrap(frameBytes).order(ByteOrder.LITTLE_ENDIAN);
    /** Records in the current frame so far. */
    private int recordCount;

    /** Starts an empty frame; drops records that have not been written. */
    void beginFrame() {
        recordCount = 0;
    }

    /** Fills in the header, writes the frame and flushes the output. */
    void writeFrame(OutputStream output) throws IOException {
        int frameLength = HEADER_BYTES + recordCount * ACTION_RECORD_BYTES;
        frameBuffer.putInt(0, frameLength - 4);
        frameBuffer.putInt(4, recordCount);
        output.write(frameBytes, 0, frameLength);
        output.flush();
    }

    /** Adds a record with code and balancer id set and all other bytes 0; returns its offset within the frame. */
    private int appendRecord(byte actionCode, int balancerId) {
        int recordOffset = HEADER_BYTES + recordCount++ * ACTION_RECORD_BYTES;
        if (recordOffset + ACTION_RECORD_BYTES > frameBytes.length) {
            frameBytes = Arrays.copyOf(frameBytes, frameBytes.length * 2);
            frameBuffer = ByteBuffer.wrap(frameBytes).order(ByteOrder.LITTLE_ENDIAN);
        }
        Arrays.fill(frameBytes, recordOffset, recordOffset + ACTION_RECORD_BYTES, (byte) 0);
        frameBytes[recordOffset] = actionCode;
        frameBuffer.putInt(recordOffset + 1, balancerId);
        return recordOffset;
    }

    /** Returns the actions of one balancer; each call adds a record to the frame. */
    Api.Actions actionsFor(int balancerId) {
        return new Api.Actions() {
            @Override
            public void send(long requestId, long serverId, long attemptDeadline) {
                int recordOffset = appendRecord(ACTION_SEND, balancerId);
                frameBuffer.putLong(recordOffset + 5, requestId);
                frameBuffer.putLong(recordOffset + 13, attemptDeadline);
                frameBuffer.putInt(recordOffset + 21, (int) serverId);
                frameBuffer.putShort(recordOffset + 25, (short) (serverId >>> 32));
            }

            @Override
            public void cancel(long requestId, int attempt) {
                int recordOffset = appendRecord(ACTION_CANCEL, balancerId);
                frameBuffer.putLong(recordOffset + 5, requestId);
                frameBuffer.putShort(recordOffset + 13, (short) attempt);
            }

            @Override
            public void refuse(long requestId, long retryAfterNs) {
                int recordOffset = appendRecord(ACTION_REFUSE, balancerId);
                frameBuffer.putLong(recordOffset + 5, requestId);
                frameBuffer.putLong(recordOffset + 13, retryAfterNs);
            }

            @Override
            public void fail(long requestId) {
                int recordOffset = appendRecord(ACTION_FAIL, balancerId);
                frameBuffer.putLong(recordOffset + 5, requestId);
            }

            @Override
            public void scheduleTimer(long dueAt, int token) {
                int recordOffset = appendRecord(ACTION_SET_TIMER, balancerId);
                frameBuffer.putLong(recordOffset + 5, dueAt);
                frameBuffer.putInt(recordOffset + 13, token);
            }

            @Override
            public void closeIdleConnections(long serverId) {
                int recordOffset = appendRecord(ACTION_CLOSE_IDLE, balancerId);
                frameBuffer.putInt(recordOffset + 5, (int) serverId);
                frameBuffer.putShort(recordOffset + 9, (short) (serverId >>> 32));
            }

            @Override
            public void subscribe() {
                int recordOffset = appendRecord(ACTION_SUBSCRIBE, balancerId);
                frameBytes[recordOffset + 5] = 1;
            }
        };
    }
}
