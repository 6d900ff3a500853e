package eiderscale;

import eiderscale.Api.RequestClass;
import eiderscale.Api.Settings;
import java.util.Arrays;

/**
 * Admission control and load shedding: decides which requests are refused before any work is done for them.
 * There are two adaptive rates, which rise and fall by factors (multiplicative increase, multiplicative
 * decrease). The admit rate follows signals of cache overload; traffic over tenants' shares, measured by
 * token buckets, is shed first. The origin admit rate limits the work that may burden the origin.
 *
 * <p>All times are in nanoseconds. Not thread-safe.
 */
final class Admission {
    /** Size of a tenant's token bucket. A smaller one would take random bursts for excess traffic. */
    private static final double TENANT_BURST_REQUESTS = 20;
    /** Factors of the origin admit rate for a failure and a success; they balance at one failure in three. */
    private static final double ORIGIN_DECREASE_FACTOR = 0.64;
    private static final double ORIGIN_INCREASE_FACTOR = 1.25;
    private static final double MIN_ORIGIN_ADMIT_RATE = 0.1;
    /**
     * Factor of the origin admit rate for a read served at the first attempt: most such reads are cache hits,
     * so that they say little about the origin.
     */
    private static final double CACHE_READ_INCREASE_FACTOR = 1.01;
    /**
     * Limits of the step by which one load signal changes the logarithm of the admit rate. The step grows
     * with the time since the previous signal, so that a balancer that gets few signals takes larger steps.
     */
    private static final double MIN_SIGNAL_STEP = 0.02;
    private static final double MAX_SIGNAL_STEP = 0.15;
    /** Time since the previous signal that makes a step of 1, before the limits. */
    private static final long UNIT_STEP_INTERVAL_NS = 1_000_000_000L;
    /** Range, in fractions of the class's goal time, of the time after which an attempt counts as slow. */
    private static final double MIN_SLOW_GOAL_FRACTION = 0.45;
    private static final double MAX_SLOW_GOAL_FRACTION = 0.9;
    /**
     * Ratio to the baseline median read latency from which on an attempt counts as slow. At the median
     * itself, chance alone would make as many slow signals as fast ones.
     */
    private static final double SLOW_TO_MEDIAN_RATIO = 1.1;
    /** Load signals, as weights relative to a fast response: negative ones lower the admit rate. */
    static final double FAST_RESPONSE_SIGNAL = 1;
    static final double REJECTION_SIGNAL = -3;
    static final double SLOW_ATTEMPT_SIGNAL = -1;
    private static final double MIN_ADMIT_RATE = 0.05;
    /** Samples over which the time of serial requests' attempts is averaged (EWMA with the weight 1/n). */
    private static final int SERIAL_EWMA_SAMPLES = 8;
    /** Samples over which the in-flight baseline is averaged (EWMA with the weight 1/n). */
    private static final int BASELINE_EWMA_SAMPLES = 256;

    private final Settings settings;
    /**
     * Admit rate, from {@link #MIN_ORIGIN_ADMIT_RATE} to 1, of what may burden the origin: writes, hedges and
     * retries after errors at read-through caches, and the balancer's own reads from the origin.
     */
    private double originAdmitRate = 1;
    /** Admit rate, from {@link #MIN_ADMIT_RATE} to 1; see {@link #shouldShed} for what is shed. */
    private double admitRate = 1;
    private long lastSignalAt;
    /** Mean number of our attempts in flight at caches when these respond fast and little is shed. */
    private double baselineInFlight;
    /** Number of samples in {@link #baselineInFlight}, up to {@link #BASELINE_EWMA_SAMPLES}. */
    private int baselineSamples;
    /**
     * Load signals since the last call of {@link #gauges}: fast responses, slow attempts, rejections (and
     * signals of 0).
     */
    private final int[] signalCounts = new int[3];
    /** Median latency of reads while little is shed; 0 until it is known. */
    private long baselineReadLatencyNs;
    /**
     * EWMA of the time that an attempt of a serial request takes. Requests of serial classes with the same
     * key run one at a time, so this is how long each keeps the others waiting.
     */
    long meanSerialAttemptNs;
    /** Token bucket of each tenant, as of its {@code tokensRefilledAt}. */
    private final double[] tenantTokens;
    private final long[] tokensRefilledAt;

    Admission(Settings settings) {
        this.settings = settings;
        tenantTokens = new double[settings.tenants().size()];
        tokensRefilledAt = new long[tenantTokens.length];
    }

    /**
     * Whether to shed a request because of overload. Keeps caches from staying full and slow under lasting
     * overload. Traffic over its tenant's share is shed first, while the admit rate falls from 1 to 0.5, and
     * the rest below that; writes less than reads.
     *
     * @param isOverShare whether the tenant is over its share, see {@link #isOverShare}
     * @param random a random number in [0, 1)
     */
    boolean shouldShed(boolean isOverShare, boolean isWrite, double random) {
        double passRate = Math.max(0, isOverShare ? 2 * admitRate - 1 : 2 * admitRate);
        return random >= (isWrite ? Math.sqrt(passRate) : passRate);
    }

    /**
     * Adjusts the admit rate to a load signal: a cache responded fast, rejected an attempt, or has not
     * responded for long. Half fast responses and half slow attempts balance, so that lost responses alone
     * shed nothing. Shedding keeps congestion from outlasting its cause, which it does where servers slow
     * down under load.
     *
     * <p>Negative signals count only while at least as many of our attempts are in flight as in the baseline.
     * Below that they are caused by slow work or by a single full host, which shedding does not cure, and the
     * admit rate would stay low although the fleet is idle.
     *
     * @param signal one of the load signal constants, or 0 to leave the rate as it is
     * @param cacheAttemptsInFlight our attempts in flight at all caches
     */
    void onLoadSignal(long now, double signal, int cacheAttemptsInFlight) {
        double step = Math.max(MIN_SIGNAL_STEP,
                Math.min(MAX_SIGNAL_STEP, (double) (now - lastSignalAt) / UNIT_STEP_INTERVAL_NS));
        lastSignalAt = now;
        signalCounts[signal > 0 ? 0 : signal == SLOW_ATTEMPT_SIGNAL ? 1 : 2]++;
        if (signal > 0 && !isOverloaded()) {
            // A plain mean of the first samples: with an EWMA that starts at 0, a new balancer would take
            // slow work for overload for a long time.
            baselineSamples = Math.min(baselineSamples + 1, BASELINE_EWMA_SAMPLES);
            baselineInFlight += (cacheAttemptsInFlight - baselineInFlight) / baselineSamples;
        } else if (signal < 0 && cacheAttemptsInFlight < baselineInFlight) {
            return;
        }
        admitRate = Math.max(MIN_ADMIT_RATE, Math.min(1, admitRate * Math.exp(signal * step)));
    }

    /**
     * The time after which an attempt that is still in flight signals overload. It is a fixed fraction of the
     * goal time, or more where the normal median latency takes up most of the goal time: otherwise load would
     * be shed although the fleet is merely no faster.
     */
    long slowThresholdNs(RequestClass requestClass) {
        double aboveMedianNs = Math.min(requestClass.goalTimeNs() * MAX_SLOW_GOAL_FRACTION,
                baselineReadLatencyNs * SLOW_TO_MEDIAN_RATIO);
        return (long) Math.max(requestClass.goalTimeNs() * MIN_SLOW_GOAL_FRACTION, aboveMedianNs);
    }

    /**
     * Records the recent median latency of reads. Under overload only the first known value is used, as
     * others are not normal.
     */
    void updateReadLatency(long medianNs) {
        baselineReadLatencyNs = baselineReadLatencyNs == 0 || !isOverloaded() ? medianNs
                : baselineReadLatencyNs;
    }

    /**
     * Whether the admit rate is so low that all traffic over tenants' shares is shed. Then nothing should be
     * sent twice without need.
     */
    boolean isOverloaded() {
        return admitRate < 0.5;
    }

    /**
     * Whether the tenant has used up its share, of which each balancer has an equal part. Refills the
     * tenant's token bucket. A tenant that the settings do not name has no limit.
     */
    boolean isOverShare(long now, int tenant) {
        if (tenant >= tenantTokens.length) {
            return false;
        }
        double ratePerSecond = settings.tenants().get(tenant).allowancePerSecond() / settings.instanceCount();
        tenantTokens[tenant] = Math.min(TENANT_BURST_REQUESTS,
                tenantTokens[tenant] + (now - tokensRefilledAt[tenant]) * 1e-9 * ratePerSecond);
        tokensRefilledAt[tenant] = now;
        return tenantTokens[tenant] < 1;
    }

    /**
     * Takes a token from the tenant's bucket for an admitted request. Refused requests take none: otherwise
     * clients' retries of them would use up the tenant's share.
     */
    void takeTenantToken(int tenant) {
        if (tenant < tenantTokens.length) {
            tenantTokens[tenant] = Math.max(0, tenantTokens[tenant] - 1);
        }
    }

    /**
     * Whether to admit work that may burden the origin. Keeps a queue at the origin, which makes all work
     * late, from outlasting its cause. Writes are admitted more readily than reads.
     *
     * @param random a random number in [0, 1)
     */
    boolean admitsOriginWork(boolean isWrite, double random) {
        return random < (isWrite ? Math.sqrt(originAdmitRate) : originAdmitRate);
    }

    /** Records how long an attempt of a serial request took; not called for attempts that never ran. */
    void recordSerialAttempt(long elapsedNs) {
        meanSerialAttemptNs += (elapsedNs - meanSerialAttemptNs) / SERIAL_EWMA_SAMPLES;
    }

    /**
     * Adjusts the origin admit rate to the result of work that depends on the origin: a fetch after a cache
     * miss, a write, or a retry at another cache.
     */
    void recordOriginResult(boolean hasFailed) {
        originAdmitRate = hasFailed
                ? Math.max(MIN_ORIGIN_ADMIT_RATE, originAdmitRate * ORIGIN_DECREASE_FACTOR)
                : Math.min(1, originAdmitRate * ORIGIN_INCREASE_FACTOR);
    }

    /** Records a read that a cache which reads from the origin by itself has served at the first attempt. */
    void recordCacheRead() {
        originAdmitRate = Math.min(1, originAdmitRate * CACHE_READ_INCREASE_FACTOR);
    }

    /** State of the limits for the periodic log line; clears the signal counts. */
    String gauges() {
        String text = "admitted " + Math.round(admitRate * 100) + "% usual " + Math.round(baselineInFlight)
                + " quick " + signalCounts[0] + " slow " + signalCounts[1] + " rejected " + signalCounts[2]
                + " fills " + Math.round(originAdmitRate * 100) + "%";
        Arrays.fill(signalCounts, 0);
        return text;
    }
}
