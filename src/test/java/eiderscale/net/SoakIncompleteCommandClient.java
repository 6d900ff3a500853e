package eiderscale.net;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * A client of a soak that stops in the middle of a command, its first or a later one, and never sends the rest. The
 * balancer has to close such a connection, after an error reply or without one, within a time limit.
 */
final class SoakIncompleteCommandClient implements Runnable {
    /**
     * The balancer has 3 s; the rest is for accept and read calls that are delayed by several injected faults in a row.
     */
    private static final int CLOSE_TIMEOUT_MS = 3_000 + 750;
    private static final int MAX_PAUSE_MS = 500;
    private static final String COMMAND = "ms half 5 Ohalf Pc=copy,t=acme,d=500\r\nhello\r\n";

    private final SoakBalancer balancer;
    private final SoakInvariantChecker checker;
    private final SplittableRandom random;
    private final BooleanSupplier isStopped;

    /** {@code isStopped}: ends {@link #run} once true. */
    SoakIncompleteCommandClient(SoakBalancer balancer, SoakInvariantChecker checker, long seed,
            BooleanSupplier isStopped) {
        this.balancer = balancer;
        this.checker = checker;
        this.random = new SplittableRandom(seed);
        this.isStopped = isStopped;
    }

    @Override
    public void run() {
        while (!isStopped.getAsBoolean()) {
            try (LineSocket connection = balancer.connect()) {
                connection.setReadTimeout(CLOSE_TIMEOUT_MS);
                if (random.nextBoolean() && connection.request("mn") == null) {
                    continue;
                }
                connection.write(COMMAND.substring(0, random.nextInt(1, COMMAND.length())));
                connection.awaitPeerClose();
                checker.countOutcome("half told");
            } catch (SocketTimeoutException e) {
                checker.reportViolation("peer: a connection with an incomplete command was not closed in time");
            } catch (IOException e) {
                // The balancer is not running, or it closed the connection with a reset.
            }
            LockSupport.parkNanos(random.nextInt(1, MAX_PAUSE_MS) * Clock.MILLISECOND);
        }
    }
}
