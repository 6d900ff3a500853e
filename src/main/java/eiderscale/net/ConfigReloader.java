package eiderscale.net;

import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reloads the configuration on request, on a thread of its own. A file that is unreadable or invalid may be incomplete
 * because it is being written: reading it is retried until it succeeds, the retry timeout passes, or another reload is
 * requested.
 */
final class ConfigReloader {
    private static final long RETRY_DELAY_MS = 100;
    /** Time from the request after which reading is no longer retried. */
    private static final long RETRY_TIMEOUT_NS = 60 * Clock.SECOND;

    private final Callable<Config> source;
    private final Consumer<Config> listener;
    private final ScheduledThreadPoolExecutor executor =
            new ScheduledThreadPoolExecutor(1, ConfigReloader::newDaemonThread);
    private Future<?> pendingRead;

    /**
     * Starts the thread that reads the configuration.
     *
     * @param source reads the configuration; throws an exception if it is unreadable or invalid
     * @param listener receives each configuration that was read, in the order of the requests, on that thread
     */
    ConfigReloader(Callable<Config> source, Consumer<Config> listener) {
        this.source = source;
        this.listener = listener;
        // Started now, since creating a thread may fail when a reload is requested.
        executor.prestartCoreThread();
    }

    private static Thread newDaemonThread(Runnable work) {
        Thread thread = new Thread(work, "reload");
        thread.setDaemon(true);
        return thread;
    }

    /** Requests a reload and cancels the retries of the previous one. May be called on any thread. */
    synchronized void reload() {
        if (pendingRead != null) {
            pendingRead.cancel(false);
        }
        long requestedAt = Clock.now();
        pendingRead = executor.submit(() -> read(requestedAt, true));
    }

    private void read(long requestedAt, boolean isFirstAttempt) {
        try {
            listener.accept(source.call());
        } catch (Exception e) {
            boolean isLastAttempt = Clock.now() - requestedAt > RETRY_TIMEOUT_NS;
            if (isFirstAttempt || isLastAttempt) {
                Counters.log("keeping the current configuration" + (isLastAttempt ? "" : ", retrying") + ": "
                        + e.getMessage());
            }
            if (!isLastAttempt) {
                scheduleRetry(requestedAt);
            }
        }
    }

    private synchronized void scheduleRetry(long requestedAt) {
        if (!pendingRead.isCancelled()) {
            pendingRead = executor.schedule(() -> read(requestedAt, false), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }
}
