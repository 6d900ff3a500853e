package eiderscale;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * A queue per key for the requests of serial classes: requests with the same key run one at a time, in the
 * order in which they arrived. All times are nanoseconds on the clock of the events.
 *
 * @param <T> the type of a request, which must not override {@code equals}
 */
final class KeyOrder<T> {
    /** Keys without requests or cooldown are removed each time this many requests have been enqueued. */
    private static final int SWEEP_INTERVAL_REQUESTS = 256;

    /** The requests of one key that have not ended, the running one first, and the key's cooldown. */
    private static final class KeyQueue<T> {
        final Deque<T> requests = new ArrayDeque<>();
        long cooldownEndsAt = Long.MIN_VALUE;
    }

    private final Map<Long, KeyQueue<T>> queues = new HashMap<>();
    private final long cooldownNs;
    private int enqueuedRequests;

    /**
     * Creates an order without requests.
     *
     * @param cooldownNs how long no request with a key starts after an attempt that may still be running
     */
    KeyOrder(long cooldownNs) {
        this.cooldownNs = cooldownNs;
    }

    /** Appends a request to its key's queue; returns the number of requests before it. */
    int enqueue(long now, long key, T request) {
        if (++enqueuedRequests % SWEEP_INTERVAL_REQUESTS == 0) {
            queues.values().removeIf(queue -> queue.requests.isEmpty() && queue.cooldownEndsAt <= now);
        }
        KeyQueue<T> queue = queues.computeIfAbsent(key, k -> new KeyQueue<>());
        queue.requests.add(request);
        return queue.requests.size() - 1;
    }

    /**
     * The earliest instant at which a queued request may start: the end of the key's cooldown, which may be
     * past, or {@link Long#MAX_VALUE} while another request is before it.
     */
    long earliestStartAt(long key, T request) {
        KeyQueue<T> queue = queues.get(key);
        return queue.requests.peek() == request ? queue.cooldownEndsAt : Long.MAX_VALUE;
    }

    /** Starts the cooldown of a key with queued requests: an attempt ended that may still be running. */
    void startCooldown(long now, long key) {
        queues.get(key).cooldownEndsAt = now + cooldownNs;
    }

    /**
     * Removes a queued request that has ended and has no pending attempt; returns the first of the remaining
     * requests of its key, or null.
     */
    T remove(long key, T request) {
        KeyQueue<T> queue = queues.get(key);
        queue.requests.remove(request);
        return queue.requests.peek();
    }
}
