package eiderscale.net;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Remembers when the bytes of a stream were received, from the last one taken out of its buffer on. Times are rounded
 * down, so that a client is never taken to have waited less than it has. It has no clock of its own.
 */
final class ArrivalTimes {
    /** Bytes that arrive so soon after others count as received with them. */
    private static final long RESOLUTION_NS = Clock.MILLISECOND;
    /** Above this number of arrivals, each two of them become one. */
    private static final int MAX_ARRIVALS = 256;

    /**
     * Bytes that were received together.
     *
     * @param endOffset the number of bytes of the stream up to the last of them
     * @param at when the first of them was received, in nanoseconds
     */
    private record Arrival(long endOffset, long at) {
    }

    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private long receivedBytes;

    /** Records that bytes were received. {@code at} must not decrease from call to call; if it does, it is raised. */
    void onReceived(int bytes, long at) {
        receivedBytes += bytes;
        Arrival last = arrivals.peekLast();
        if (last != null && at - last.at < RESOLUTION_NS) {
            arrivals.pollLast();
            arrivals.addLast(new Arrival(receivedBytes, last.at));
            return;
        }
        arrivals.addLast(new Arrival(receivedBytes, at));
        if (arrivals.size() > MAX_ARRIVALS) {
            mergePairs();
        }
    }

    private void mergePairs() {
        for (int remaining = arrivals.size(); remaining > 0; remaining -= 2) {
            Arrival first = arrivals.pollFirst();
            long endOffset = remaining > 1 ? arrivals.pollFirst().endOffset : first.endOffset;
            arrivals.addLast(new Arrival(endOffset, first.at));
        }
    }

    /**
     * Returns when the byte was received that lies before the last {@code unreadBytes} ones, and forgets the times of
     * those before it. At least one byte must have been received.
     */
    long receivedAt(int unreadBytes) {
        long offset = receivedBytes - unreadBytes;
        while (arrivals.size() > 1 && arrivals.peekFirst().endOffset < offset) {
            arrivals.pollFirst();
        }
        return arrivals.peekFirst().at;
    }
}
