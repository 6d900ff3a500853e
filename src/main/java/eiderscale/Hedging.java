package eiderscale;

import com.tdunning.math.stats.MergingDigest;
import com.tdunning.math.stats.TDigest;
import eiderscale.Api.RetryBudget;

/**
 * The delay of hedged requests, a quantile of recent read latencies, and the budget for hedges and retries
 * within a sliding window. All times are nanoseconds on the clock of the events.
 */
final class Hedging {
    /** The quantile of recent read latencies after which a read is hedged. */
    private static final double HEDGE_DELAY_QUANTILE = 0.95;
    /** Compression of the t-digest of read latencies: larger is more accurate and takes more memory. */
    private static final double DIGEST_COMPRESSION = 50;
    /** A digest is replaced by an empty one at this number of samples. */
    private static final int MAX_DIGEST_SAMPLES = 512;
    /** A digest of this age is replaced as well, once it holds {@link #MIN_DIGEST_SAMPLES}. */
    private static final long MAX_DIGEST_AGE_NS = 10_000_000_000L;
    /** Fewer samples do not show the tail of the distribution. */
    private static final int MIN_DIGEST_SAMPLES = 32;
    /** The quantiles are read from the digest each time this many samples have been added. */
    private static final int REFRESH_INTERVAL_SAMPLES = 16;
    /** The budget if none is configured. */
    private static final RetryBudget DEFAULT_BUDGET = new RetryBudget(10, 0.2, 5_000_000_000L);
    /** The fraction of the default budget up to which hedges are sent; retries made so far count as well. */
    private static final double HEDGE_BUDGET_FRACTION = 0.5;

    private TDigest latencyDigest = new MergingDigest(DIGEST_COMPRESSION);
    private long digestStartedAt;
    private int digestSamples;
    /** The {@link #HEDGE_DELAY_QUANTILE} of recent read latencies; 0 until there are enough samples. */
    private long latencyQuantileNs;
    /** Median of recent read latencies; 0 until it is first read from the digest. */
    private long medianLatencyNs;
    private final RetryBudget budget;
    private final boolean isBudgetConfigured;
    /** The requests received within the budget's window; rather too few than too many. */
    private final SlidingWindowCounter requests;
    /** The hedges and charged retries sent within the window; rather too many than too few. */
    private final SlidingWindowCounter furtherAttempts;

    /**
     * Starts without samples and with an empty window.
     *
     * @param budget the configured budget, or null for the default one
     */
    Hedging(RetryBudget budget) {
        this.isBudgetConfigured = budget != null;
        this.budget = isBudgetConfigured ? budget : DEFAULT_BUDGET;
        long windowNs = this.budget.windowNs();
        this.requests = new SlidingWindowCounter(windowNs, SlidingWindowCounter.Expiry.WITH_FIRST);
        // An attempt still counts when exactly the window has passed.
        this.furtherAttempts =
                new SlidingWindowCounter(windowNs + 1, SlidingWindowCounter.Expiry.WITH_LAST);
    }

    /** Counts a client request towards the budget, whether it is refused or not. */
    void requestReceived(long now) {
        requests.add(now);
    }

    /**
     * Charges a hedge to the budget; false if it is not covered and must not be sent. The budget prevents
     * hedges from piling up when all caches slow down at once. Hedges leave a part of the default budget to
     * retries, without which a request would be lost.
     */
    boolean trySpendOnHedge(long now) {
        return trySpend(now, isBudgetConfigured ? 1 : HEDGE_BUDGET_FRACTION);
    }

    /**
     * Charges a retry to the budget; false if it is not covered and must not be sent. The budget prevents
     * retries from keeping an overloaded fleet overloaded.
     *
     * @param isFree whether the default budget is not charged; a configured budget always is
     */
    boolean trySpendOnRetry(long now, boolean isFree) {
        return isFree && !isBudgetConfigured || trySpend(now, 1);
    }

    /** Charges a further attempt if, with it, the window holds no more than this fraction of the budget. */
    private boolean trySpend(long now, double budgetFraction) {
        boolean isAllowed = furtherAttempts.count(now) + 1
                <= budgetFraction * (budget.minRetries() + budget.retryRatio() * requests.count(now));
        if (isAllowed) {
            furtherAttempts.add(now);
        }
        return isAllowed;
    }

    /** Adds the latency of a served read, counted from its first attempt. */
    void readServed(long now, long latencyNs) {
        latencyDigest.add(latencyNs);
        digestSamples++;
        if (digestSamples % REFRESH_INTERVAL_SAMPLES == 0) {
            medianLatencyNs = (long) latencyDigest.quantile(0.5);
            latencyQuantileNs = digestSamples >= MIN_DIGEST_SAMPLES
                    ? (long) latencyDigest.quantile(HEDGE_DELAY_QUANTILE) : latencyQuantileNs;
        }
        if (digestSamples >= MAX_DIGEST_SAMPLES
                || now - digestStartedAt > MAX_DIGEST_AGE_NS && digestSamples >= MIN_DIGEST_SAMPLES) {
            latencyDigest = new MergingDigest(DIGEST_COMPRESSION);
            digestStartedAt = now;
            digestSamples = 0;
        }
    }

    /** How long after its first attempt a read is hedged; -1 while there are too few samples for hedging. */
    long hedgeDelayNs() {
        return latencyQuantileNs > 0 ? latencyQuantileNs : -1;
    }

    /** The median latency of recently served reads; 0 while there are too few samples. */
    long medianLatencyNs() {
        return medianLatencyNs;
    }

    /** A description of the present state for the log. */
    String gauges() {
        return "hedge-after " + latencyQuantileNs / 1_000_000 + " ms median "
                + medianLatencyNs / 1_000_000 + " ms further "
                + furtherAttempts.lastCount() + " of " + requests.lastCount();
    }
}
