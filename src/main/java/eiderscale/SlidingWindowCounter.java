package eiderscale;

import java.util.Arrays;

/**
 * Counts events within a sliding window of time, in memory that does not grow with their number: events
 * that come soon after each other share a bucket. All times are nanoseconds on the clock of the events.
 */
final class SlidingWindowCounter {
    /** Whether the events of a bucket leave the window with the first or with the last of them. */
    enum Expiry { WITH_FIRST, WITH_LAST }

    /** Most buckets; each spans at most the window divided by their number less one. */
    static final int MAX_BUCKETS = 1_024;
    private static final int INITIAL_CAPACITY = 16;

    private final long windowNs;
    private final long bucketSpanNs;
    private final Expiry expiry;
    /** A ring of buckets: the times of each one's first and last event, and their number. */
    private long[] firstTimes = new long[INITIAL_CAPACITY];
    private long[] lastTimes = new long[INITIAL_CAPACITY];
    private int[] counts = new int[INITIAL_CAPACITY];
    private int head;
    private int bucketCount;
    private int total;

    /**
     * Creates a counter without events.
     *
     * @param windowNs the length of the window; an event is counted as long as less than this has passed
     */
    SlidingWindowCounter(long windowNs, Expiry expiry) {
        this.windowNs = windowNs;
        this.bucketSpanNs = windowNs / (MAX_BUCKETS - 1);
        this.expiry = expiry;
    }

    /** Counts an event. {@code now} must not decrease from call to call. */
    void add(long now) {
        removeExpired(now);
        total++;
        int last = index(bucketCount - 1);
        if (bucketCount > 0 && (now - firstTimes[last] <= bucketSpanNs || bucketCount == MAX_BUCKETS)) {
            counts[last]++;
            lastTimes[last] = now;
            return;
        }
        if (bucketCount == counts.length) {
            grow();
        }
        int added = index(bucketCount++);
        firstTimes[added] = now;
        lastTimes[added] = now;
        counts[added] = 1;
    }

    /** Returns the number of events within the window. */
    int count(long now) {
        removeExpired(now);
        return total;
    }

    /** Returns the number of events that were within the window when it was last asked or added to. */
    int lastCount() {
        return total;
    }

    int bucketCount() {
        return bucketCount;
    }

    private void removeExpired(long now) {
        long[] times = expiry == Expiry.WITH_FIRST ? firstTimes : lastTimes;
        while (bucketCount > 0 && now - times[head] >= windowNs) {
            total -= counts[head];
            head = index(1);
            bucketCount--;
        }
    }

    /** Returns the position in the arrays of the bucket that is so many behind the first. */
    private int index(int offset) {
        return (head + offset) & (counts.length - 1);
    }

    private void grow() {
        int capacity = counts.length;
        firstTimes = unrolled(firstTimes, 2 * capacity);
        lastTimes = unrolled(lastTimes, 2 * capacity);
        int[] newCounts = new int[2 * capacity];
        for (int i = 0; i < capacity; i++) {
            newCounts[i] = counts[index(i)];
        }
        counts = newCounts;
        head = 0;
    }

    private long[] unrolled(long[] ring, int capacity) {
        long[] copy = Arrays.copyOf(ring, capacity);
        for (int i = 0; i < ring.length; i++) {
            copy[i] = ring[index(i)];
        }
        return copy;
    }
}
