package eiderscale.net;

/**
 * A rate-limited log: at most one line per 250 ms, for events that may come in large numbers. A line states how many
 * were suppressed before it.
 */
final class RateLimitedLog {
    private static final long MIN_INTERVAL_NS = 250 * Clock.MILLISECOND;

    private boolean hasLogged;
    /** When the last line was logged; valid once {@link #hasLogged}. */
    private long lastLoggedAt;
    /** Lines suppressed since the last one that was logged. */
    private long suppressedLines;

    void log(String line) {
        long nowNs = Clock.now();
        if (hasLogged && nowNs - lastLoggedAt < MIN_INTERVAL_NS) {
            suppressedLines++;
            return;
        }
        Counters.log(suppressedLines == 0 ? line : line + " (" + suppressedLines + " similar lines suppressed before)");
        hasLogged = true;
        lastLoggedAt = nowNs;
        suppressedLines = 0;
    }
}
