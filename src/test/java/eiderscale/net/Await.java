package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions by polling. */
final class Await {
    private static final long POLL_INTERVAL_NS = 5 * Clock.MILLISECOND;

    private Await() {
    }

    /** Waits until the condition holds; fails if it does not within {@link LineSocket#TIMEOUT_MS}. */
    static void until(BooleanSupplier condition, String description) {
        long deadline = System.nanoTime() + LineSocket.TIMEOUT_MS * Clock.MILLISECOND;
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(POLL_INTERVAL_NS);
        }
        assertTrue(condition.getAsBoolean(), "timed out waiting for " + description);
    }
}
