package eiderscale.net;

import eiderscale.Api.Reason;
import java.util.Arrays;
import java.util.List;

/**
 * The balancer's metrics, written to standard error as one periodic line, and the functions that write other log lines
 * there. They show why requests or attempts end badly and how late the event loop runs. Metrics are updated on the
 * event loop only; {@link #log} may be called on any thread. Counts are totals since the program started, except those
 * described as since the last metrics line. Durations are in nanoseconds.
 */
final class Counters {
    private static final String PREFIX = "shelfroute: ";
    /** Attempts by how they ended, indexed by {@link Reason}. */
    private final long[] outcomes = new long[Reason.values().length];
    /** Valid requests passed to {@link Balancer#submit}; each is served, refused, failed, or ends by a disconnect. */
    long received;
    /** Requests whose reply was a host's successful response. */
    private long served;
    /** Cache misses: served reads whose value the host had to fetch from the origin. */
    private long missed;
    /** Served reads since the last metrics line: cache hits at index 0, cache misses at index 1. */
    private final long[] reads = new long[2];
    /** The sum of the latencies of {@link #reads}, in nanoseconds. */
    private final long[] readTimeNs = new long[2];
    /** Received requests answered "busy". */
    long refused;
    /** Received requests answered "failed". */
    long failed;
    /** Requests whose client disconnected before the reply. */
    long clientDisconnects;
    /** The part of {@link #clientDisconnects} that came in the first half of the time that the client would wait. */
    long earlyClientDisconnects;
    long malformedCommands;
    /** Requests that got a reply without the decision module, as it had not given one by their deadline. */
    long overdueReplies;
    /** Requests failed because one with their id may have run for a client that has left, and must not run twice. */
    long repeatedIds;
    /** Requests refused because their client's wait was over before they could be started. */
    long expiredRequests;
    /** Connections to cache hosts that the pool has begun to open. */
    long connectionsStarted;
    /** Outgoing connections that could not be started, as no socket could be created. */
    long socketFailures;
    /** Failed calls to accept a client connection. */
    private long acceptFailures;
    private long discoveryFailures;
    private long brokenClientConnections;
    /** Failed read and write calls, on connections of any kind. */
    private long ioFailures;
    private final RateLimitedLog ioFailureLog = new RateLimitedLog();
    private final RateLimitedLog brokenClientLog = new RateLimitedLog();
    private final RateLimitedLog clientFailureLog = new RateLimitedLog();
    private final RateLimitedLog acceptFailureLog = new RateLimitedLog();
    private final RateLimitedLog discoveryFailureLog = new RateLimitedLog();
    /** New connections whose first request the host answered "busy", as it was at its connection limit. */
    long connectionsRejectedByHost;
    /** Requests and attempts that were refused for lack of room in this process, not by the decision module. */
    long localRefusals;
    /** The part of {@link #refused} for which no attempt was made. */
    long refusedWithoutAttempt;
    /** Requests refused or failed in the second half of their client's wait, with no attempt written completely. */
    long lateAndUnwritten;
    /** Attempts of write requests: all at index 0, those that ended in an error at index 1. */
    private final long[] writeAttempts = new long[2];
    /** Attempts other than a request's first: all at index 0, those that ended in an error at index 1. */
    private final long[] furtherAttempts = new long[2];
    /** Idle client connections that were closed to make room for new ones. */
    long evictedClients;
    /** New client connections that were closed at once, as there was no room even to refuse their requests. */
    long rejectedClients;
    /** Client connections closed because they sent no complete command in time. */
    long silentClients;
    /** Client connections closed because the client did not read its replies while memory was scarce. */
    long stalledClients;
    /** Attempts on reused connections that ended because the connection was lost. */
    long staleResets;
    /** The shortest time that such a connection had been idle, since the last metrics line. */
    private long minStaleIdleNs = Long.MAX_VALUE;
    /** The longest such time since the last metrics line. */
    private long maxStaleIdleNs;
    /** The longest send delay since the last metrics line, see {@link #recordSendDelay}. */
    private long maxSendDelayNs;
    /** Replies whose write to the client took more than 5 ms. */
    private long slowReplyWrites;
    /** The longest write of a reply to a client since the last metrics line. */
    private long maxReplyWriteNs;
    /** The longest time that a reply was queued behind earlier ones, since the last metrics line. */
    private long maxReplyQueueNs;
    /** The sum of the problem counts at the last call of {@link #hasNewProblems}. */
    private long lastProblemCount;
    /** Timers that have run. */
    private long timers;
    /** Timers that ran more than 5 ms late. */
    private long lateTimers;
    /** The longest delay of a timer since the last metrics line. */
    private long maxTimerDelayNs;

    void recordOutcome(Attempt attempt, Reason reason) {
        outcomes[reason.ordinal()]++;
        int errorCount = reason == Reason.ERROR ? 1 : 0;
        if (attempt.exchange.command.isWrite) {
            writeAttempts[0]++;
            writeAttempts[1] += errorCount;
        }
        if (attempt.index > 0) {
            furtherAttempts[0]++;
            furtherAttempts[1] += errorCount;
        }
    }

    /**
     * Records a served request.
     *
     * @param hitFlag the response's flag {@code h}: "0" for a cache miss, null for a write
     * @param latencyNs the latency of the attempt that was served
     */
    void served(String hitFlag, long latencyNs) {
        served++;
        if (hitFlag != null) {
            int miss = "0".equals(hitFlag) ? 1 : 0;
            missed += miss;
            reads[miss]++;
            readTimeNs[miss] += latencyNs;
        }
    }

    private double meanReadTimeNs(int index) {
        return (double) readTimeNs[index] / Math.max(1, reads[index]);
    }

    /** Records that a timer ran, {@code delayNs} after it was due. */
    void recordTimer(long delayNs) {
        timers++;
        lateTimers += delayNs > 5 * Clock.MILLISECOND ? 1 : 0;
        maxTimerDelayNs = Math.max(maxTimerDelayNs, delayNs);
    }

    /** Records the time from the decision module's send until the attempt was handed to its connection for writing. */
    void recordSendDelay(long delayNs) {
        maxSendDelayNs = Math.max(maxSendDelayNs, delayNs);
    }

    /**
     * Records the write of a reply to a client. Both times count from when the reply was available.
     *
     * @param queuedNs time until all earlier commands of the connection had their reply and the write began
     * @param writtenNs time until the last byte of the reply was written
     */
    void recordReplyWrite(long queuedNs, long writtenNs) {
        slowReplyWrites += writtenNs - queuedNs > 5 * Clock.MILLISECOND ? 1 : 0;
        maxReplyQueueNs = Math.max(maxReplyQueueNs, queuedNs);
        maxReplyWriteNs = Math.max(maxReplyWriteNs, writtenNs - queuedNs);
    }

    void recordAcceptFailure(Throwable cause) {
        acceptFailures++;
        acceptFailureLog.log("cannot accept: " + cause);
    }

    /**
     * Records that a client connection broke.
     *
     * @param openRequests the opaques of the connection's requests that have no reply yet
     */
    void recordBrokenClientConnection(Throwable cause, List<String> openRequests) {
        brokenClientConnections++;
        if (!openRequests.isEmpty()) {
            brokenClientLog.log("client connection broke: " + cause + ", open requests " + openRequests);
        }
    }

    /** Records that something failed unexpectedly on a client connection. */
    void recordClientFailure(Throwable cause) {
        clientFailureLog.log("unexpected exception on a client connection: " + cause);
    }

    /**
     * Records a failed read or write call. The connection may still work.
     *
     * @param operation "read" or "write"
     */
    void recordIoFailure(String operation, Throwable cause) {
        ioFailures++;
        ioFailureLog.log("a " + operation + " failed: " + cause.getMessage());
    }

    void recordDiscoveryFailure(String line) {
        discoveryFailures++;
        discoveryFailureLog.log(line);
    }

    /** Records that an attempt failed on a reused connection, which had been idle for {@code idleNs} before. */
    void recordStaleReset(long idleNs) {
        staleResets++;
        maxStaleIdleNs = Math.max(maxStaleIdleNs, idleNs);
        minStaleIdleNs = Math.min(minStaleIdleNs, idleNs);
    }

    /** Whether any problem was counted since the previous call, so that a metrics line should be written at once. */
    boolean hasNewProblems() {
        long previousCount = lastProblemCount;
        lastProblemCount = refused + failed + overdueReplies + lateTimers + rejectedClients + evictedClients
                + staleResets + outcomes[Reason.TIMEOUT.ordinal()] + outcomes[Reason.CONNECT_FAILED.ordinal()];
        return lastProblemCount != previousCount;
    }

    /**
     * Writes the metrics line, with {@code gauges} at its end. Counts are totals; maxima and the hits, fetched and mean
     * of reads cover the time since the last line.
     */
    void printMetrics(String gauges) {
        MetricsLine line = new MetricsLine();
        appendRequests(line);
        appendConnections(line);
        appendDelays(line);
        appendReads(line);
        appendFailures(line);
        appendOutcomes(line);
        resetPerLineValues();
        log(line.append(gauges).toString());
    }

    private void appendRequests(MetricsLine line) {
        line.count("taken", received).count("served", served).count("missed", missed).count("refused", refused)
                .count("unsent", refusedWithoutAttempt).count("failed", failed).count("gone", clientDisconnects)
                .count("early", earlyClientDisconnects).count("malformed", malformedCommands)
                .count("last-calls", overdueReplies).count("expired", expiredRequests)
                .count("held-back", lateAndUnwritten).count("repeated-ids", repeatedIds).endGroup();
    }

    private void appendConnections(MetricsLine line) {
        line.count("connects", connectionsStarted).count("no-place", connectionsRejectedByHost)
                .count("local-refusals", localRefusals).count("evicted", evictedClients)
                .count("turned-away", rejectedClients).count("silent", silentClients)
                .count("stalled", stalledClients)
                .count("stale-resets", staleResets);
        if (maxStaleIdleNs > 0) {
            line.millis("after", minStaleIdleNs).millis("to", maxStaleIdleNs);
        }
        line.endGroup();
    }

    private void appendDelays(MetricsLine line) {
        line.millis("turn worst", maxReplyQueueNs).count("slow deliveries", slowReplyWrites)
                .millis("worst", maxReplyWriteNs).millis("way worst", maxSendDelayNs).count("timers", timers)
                .count("late", lateTimers).millis("worst", maxTimerDelayNs).endGroup();
    }

    private void appendReads(MetricsLine line) {
        line.count("hits", reads[0]).millis("mean", meanReadTimeNs(0)).count("fetched", reads[1])
                .millis("mean", meanReadTimeNs(1)).ratio("errors of writes", writeAttempts[1], writeAttempts[0])
                .ratio("of further", furtherAttempts[1], furtherAttempts[0]).endGroup();
    }

    private void appendFailures(MetricsLine line) {
        line.count("no-socket", socketFailures).count("accept-failures", acceptFailures)
                .count("discovery-failures", discoveryFailures).count("broken-clients", brokenClientConnections)
                .count("failed-calls", ioFailures).endGroup();
    }

    private void appendOutcomes(MetricsLine line) {
        for (Reason reason : Reason.values()) {
            if (outcomes[reason.ordinal()] > 0) {
                line.count(reason.name(), outcomes[reason.ordinal()]);
            }
        }
        line.endGroup();
    }

    private void resetPerLineValues() {
        Arrays.fill(reads, 0);
        Arrays.fill(readTimeNs, 0);
        maxTimerDelayNs = 0;
        maxSendDelayNs = 0;
        maxReplyQueueNs = 0;
        maxReplyWriteNs = 0;
        maxStaleIdleNs = 0;
        minStaleIdleNs = Long.MAX_VALUE;
    }

    /** Writes a log line to standard error. */
    static void log(String line) {
        System.err.println(PREFIX + line);
    }

    /** Logs an unexpected exception on one line, with the first frames of its stack trace to find its cause. */
    static void log(String message, Throwable cause) {
        StringBuilder line = new StringBuilder(message).append(": ").append(cause);
        StackTraceElement[] trace = cause.getStackTrace();
        for (int i = 0; i < Math.min(6, trace.length); i++) {
            line.append(" <- ").append(trace[i]);
        }
        log(line.toString());
    }
}
