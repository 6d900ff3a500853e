package eiderscale.net;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Retries failing calls at a fixed delay until a deadline that all calls of one instance share. */
final class RetryUntilDeadline {
    private static final long RETRY_DELAY_MS = 50;

    private final long deadline;

    /**
     * Sets the deadline that all calls share.
     *
     * @param timeoutNs time from now to the deadline
     */
    RetryUntilDeadline(long timeoutNs) {
        this.deadline = Clock.now() + timeoutNs;
    }

    /** Returns the first result. An exception at or after the deadline is rethrown; a call is made at least once. */
    <T> T execute(Callable<T> call) throws Exception {
        while (true) {
            try {
                return call.call();
            } catch (Exception e) {
                if (Clock.now() >= deadline) {
                    throw e;
                }
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
        }
    }
}
