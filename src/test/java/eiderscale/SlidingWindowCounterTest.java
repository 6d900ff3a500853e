package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.SlidingWindowCounter.Expiry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against memory that grows with the rate of requests, and against a retry budget that is exceeded. */
class SlidingWindowCounterTest {
    private static final long WINDOW_NS = 5_000_000_000L;

    /** Picture (b): the time of each request was kept, so that a client that sent fast used up the heap. */
    @Test
    void memoryDoesNotGrowWithTheNumberOfEvents() {
        SlidingWindowCounter counter = new SlidingWindowCounter(WINDOW_NS, Expiry.WITH_FIRST);
        int events = 10_000_000;
        for (int i = 0; i < events; i++) {
            counter.add(i * 100L);
        }
        assertEquals(events, counter.count(events * 100L));
        assertTrue(counter.bucketCount() <= SlidingWindowCounter.MAX_BUCKETS, "buckets " + counter.bucketCount());
        assertEquals(0, counter.count(events * 100L + WINDOW_NS));
    }

    @Test
    void eventsThatAreFarApartAreCountedExactly() {
        for (Expiry expiry : Expiry.values()) {
            SlidingWindowCounter counter = new SlidingWindowCounter(WINDOW_NS, expiry);
            Deque<Long> exact = new ArrayDeque<>();
            Random random = new Random(3);
            long now = 0;
            for (int i = 0; i < 10_000; i++) {
                now += WINDOW_NS / 1_000 + random.nextInt(100_000_000);
                counter.add(now);
                exact.add(now);
                long cutoff = now - WINDOW_NS;
                exact.removeIf(time -> time <= cutoff);
                assertEquals(exact.size(), counter.count(now));
            }
        }
    }

    @Test
    void countIsNeverOnTheWrongSideAndOffByABucketAtMost() {
        SlidingWindowCounter low = new SlidingWindowCounter(WINDOW_NS, Expiry.WITH_FIRST);
        SlidingWindowCounter high = new SlidingWindowCounter(WINDOW_NS, Expiry.WITH_LAST);
        Deque<Long> exact = new ArrayDeque<>();
        Random random = new Random(5);
        long now = 0;
        for (int i = 0; i < 200_000; i++) {
            now += random.nextInt(1_000_000);
            low.add(now);
            high.add(now);
            exact.add(now);
            while (exact.peek() <= now - WINDOW_NS) {
                exact.poll();
            }
            assertTrue(low.count(now) <= exact.size() && exact.size() <= high.count(now));
            assertTrue(high.count(now) - low.count(now) <= 40, "events of two buckets");
        }
    }
}
