package eiderscale.net;

import java.util.Arrays;

/**
 * Remembers when the bytes of a stream were received, from the last one taken out of its buffer on. Times are rounded
 * down, so that a client is never taken to have waited less than it has. It has no clock of its own.
 */
final class ArrivalTimes {
    /** Bytes that arrive so soon after others count as received with them. */
    private static final long RESOLUTION_NS = Clock.MILLISECOND;
    /** At this number of arrivals, each two of them become one. */
    private static final int MAX_ARRIVALS = 256;
    private static final int INITIAL_CAPACITY = 2;

    /** For each arrival, oldest first, the number of bytes of the stream up to the last one that it brought. */
    private long[] endOffsets = new long[INITIAL_CAPACITY];
    /** When the first byte of each arrival was received, in nanoseconds. */
    private long[] times = new long[INITIAL_CAPACITY];
    private int count;
    private long receivedBytes;

    /** Records that bytes were received. {@code at} must not decrease from call to call; if it does, it is raised. */
    void onReceived(int bytes, long at) {
        receivedBytes += bytes;
        if (count > 0 && at - times[count - 1] < RESOLUTION_NS) {
            endOffsets[count - 1] = receivedBytes;
            return;
        }
        if (count == MAX_ARRIVALS) {
            mergePairs();
        } else if (count == times.length) {
            endOffsets = Arrays.copyOf(endOffsets, 2 * count);
            times = Arrays.copyOf(times, 2 * count);
        }
        endOffsets[count] = receivedBytes;
        times[count] = at;
        count++;
    }

    private void mergePairs() {
        for (int i = 0; i < count / 2; i++) {
            endOffsets[i] = endOffsets[2 * i + 1];
            times[i] = times[2 * i];
        }
        count /= 2;
    }

    /**
     * Returns when the byte was received that lies before the last {@code unreadBytes} ones, and forgets the times of
     * those before it. At least one byte must have been received.
     */
    long receivedAt(int unreadBytes) {
        long offset = receivedBytes - unreadBytes;
        int first = 0;
        while (first < count - 1 && endOffsets[first] < offset) {
            first++;
        }
        if (first > 0) {
            System.arraycopy(endOffsets, first, endOffsets, 0, count - first);
            System.arraycopy(times, first, times, 0, count - first);
            count -= first;
        }
        if (unreadBytes == 0 && times.length > INITIAL_CAPACITY) {
            endOffsets = Arrays.copyOf(endOffsets, INITIAL_CAPACITY);
            times = Arrays.copyOf(times, INITIAL_CAPACITY);
        }
        return times[0];
    }

    /** Returns the heap memory of the times beyond what each stream needs, in bytes. */
    int memoryBytes() {
        return 2 * Long.BYTES * (times.length - INITIAL_CAPACITY);
    }
}
