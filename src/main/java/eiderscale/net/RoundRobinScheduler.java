package eiderscale.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Shares the event loop among tasks that may have much to do: they take short turns in the order in which they asked
 * for them, and I/O and timers are served in between. All methods must be called on the event loop.
 */
final class RoundRobinScheduler {
    /** Something that is done in turns. */
    abstract static class Task {
        private boolean isQueued;
        /** The task behind this one in the queue. */
        private Task next;

        /**
         * Does a part of the work, about {@link #TURN_COST} at most. If more is left, it asks for another turn itself.
         *
         * @return the cost of what was done, in units of an invalid command's
         */
        abstract int runTurn();
    }

    /** The cost at which a task should end its turn. */
    static final int TURN_COST = 256;
    /** The cost of turns after which I/O and timers are served. */
    private static final int MAX_COST_IN_A_ROW = 2_048;
    /** The wait after a turn that failed: for lack of memory the next one would probably fail as well. */
    private static final long RETRY_DELAY_MS = 20;

    private final EventLoop loop;
    /** The tasks that wait are linked to each other: adding one allocates nothing, and so cannot fail. */
    private Task first;
    private Task last;
    private final RateLimitedLog failureLog = new RateLimitedLog();
    /** Whether turns are being run, or will be. */
    private boolean isScheduled;

    RoundRobinScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /** Gives a task a turn behind all others that wait for one; has no effect if it waits already. */
    void submit(Task task) {
        enqueue(task);
        ensureScheduled();
    }

    private void enqueue(Task task) {
        if (task.isQueued) {
            return;
        }
        task.isQueued = true;
        if (first == null) {
            first = task;
        } else {
            last.next = task;
        }
        last = task;
    }

    private Task dequeue() {
        Task task = first;
        first = task.next;
        task.next = null;
        task.isQueued = false;
        return task;
    }

    /** Has the next turns run soon if any task waits. */
    void ensureScheduled() {
        if (!isScheduled && first != null) {
            // Runs after the I/O that is being served now.
            loop.execute(this::runTurns);
            isScheduled = true;
        }
    }

    private void runTurns() {
        int cost = 0;
        boolean hasFailed = false;
        while (cost < MAX_COST_IN_A_ROW && !hasFailed && first != null) {
            Task task = dequeue();
            try {
                cost += 1 + task.runTurn();
            } catch (Throwable e) {
                hasFailed = true;
                onFailure(task, e);
            }
        }
        isScheduled = false;
        if (first != null) {
            // Not by execute: the event loop would run such tasks before it serves I/O.
            loop.schedule(this::runTurns, hasFailed ? RETRY_DELAY_MS : 0, TimeUnit.MILLISECONDS);
            isScheduled = true;
        }
    }

    /** Lets the task try again behind all others, so that its failures do not keep these from their turns. */
    private void onFailure(Task task, Throwable failure) {
        enqueue(task);
        failureLog.log("unexpected exception while processing input: " + failure);
    }
}
