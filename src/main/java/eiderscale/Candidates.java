package eiderscale;

import eiderscale.HostHealth.Host;

/**
 * Selects the caches for a key by weighted rendezvous hashing (highest random weight). A key normally has two
 * candidate hosts; a hot key, detected by its share of this balancer's traffic, has more.
 *
 * <p>The ranking is kept in this object and is valid until the next call of {@link #rankHosts}. Times are in
 * nanoseconds. Not thread-safe.
 */
final class Candidates {
    /** Candidates of a key that is not hot. */
    private static final int DEFAULT_CANDIDATES = 2;
    private static final int MAX_CANDIDATES = 32;
    /** Hosts ranked after the candidates, for retries when all candidates have been tried. */
    private static final int FALLBACK_HOSTS = 2;
    /** Candidates of a hot key for each host's worth of traffic that it draws. */
    private static final double HOT_KEY_CAPACITY_FACTOR = 3;
    /** A host counts as slower than another if its latency is more than this many times the other's. */
    private static final double SLOWER_LATENCY_RATIO = 2;
    /** Added to the in-flight count of a failure outlier when hosts are compared. */
    private static final int OUTLIER_IN_FLIGHT_PENALTY = 2;
    /** Size of the hot-key counter table, a power of two. */
    private static final int COUNTER_SLOTS = 256;
    /** All counters are halved after this many counted requests, or after {@link #HALVING_INTERVAL_NS}. */
    private static final int HALVING_REQUESTS = 256;
    private static final long HALVING_INTERVAL_NS = 5_000_000_000L;
    /** Fewest counted requests from which a key's share of the traffic is estimated. */
    private static final int MIN_COUNTED_REQUESTS = 16;
    /** 2^-53, scales an integer of 53 bits to [0, 1). */
    private static final double UNIT_SCALE = 1.0 / (1L << 53);

    /**
     * Eligible hosts for the key last ranked, best first: the candidates, then the fallback hosts. Only the
     * first {@link #count} elements are valid.
     */
    final Host[] rankedHosts = new Host[MAX_CANDIDATES + FALLBACK_HOSTS];
    /** Number of hosts in {@link #rankedHosts}; less than {@link #candidateCount} if too few are eligible. */
    int count;
    /** How many of {@link #rankedHosts}, from the first on, are candidates; the rest are fallback hosts. */
    int candidateCount;
    /** Rendezvous distances of {@link #rankedHosts}, see {@link #rankHosts}. */
    private final double[] rankedDistances = new double[MAX_CANDIDATES + FALLBACK_HOSTS];
    /** The key that each slot of the hot-key counter table counts. */
    private final long[] counterKeys = new long[COUNTER_SLOTS];
    private final int[] counterValues = new int[COUNTER_SLOTS];
    /** Requests counted in the table; halved together with the counters. */
    private int countedRequests;
    /** When the counters were last halved. */
    private long halvedAt;
    private final HostHealth health;

    Candidates(HostHealth health) {
        this.health = health;
    }

    /**
     * Ranks the eligible caches for a key by their rendezvous distance, -ln(1 - hash) / weight with the hash
     * in [0, 1), least first.
     *
     * @param ownZoneFactor multiplies the weight of hosts in our own zone, at least 1
     */
    void rankHosts(long now, long key, double ownZoneFactor) {
        candidateCount = candidateCount(key);
        int limit = candidateCount + FALLBACK_HOSTS;
        count = 0;
        double distanceLimit = Double.MAX_VALUE;
        Host[] hosts = health.caches;
        for (int i = 0; i < health.cacheCount; i++) {
            Host host = hosts[i];
            long hash = mix64(key ^ host.hashSalt);
            double unitHash = toUnitInterval(hash);
            double inverseWeight = host.isInOwnZone ? host.inverseWeight / ownZoneFactor : host.inverseWeight;
            // Since x <= -ln(1 - x), this lower bound of the distance rejects most hosts without a logarithm.
            if (unitHash * inverseWeight >= distanceLimit) {
                continue;
            }
            double distance = -Math.log1p(-unitHash) * inverseWeight;
            if (distance >= distanceLimit || !health.isEligible(now, host, hash)) {
                continue;
            }
            int position = count < limit ? count++ : limit - 1;
            while (position > 0 && rankedDistances[position - 1] > distance) {
                rankedDistances[position] = rankedDistances[position - 1];
                rankedHosts[position] = rankedHosts[position - 1];
                position--;
            }
            rankedDistances[position] = distance;
            rankedHosts[position] = host;
            if (count == limit) {
                distanceLimit = rankedDistances[limit - 1];
            }
        }
    }

    /**
     * Counts a request for hot-key detection. Keys share a small table of counters, one key to a slot: a
     * request for another key of the slot decrements the counter and takes the slot over once it is used up,
     * so that the more frequent key holds the slot. Halving all counters from time to time lets old requests
     * fade.
     */
    void count(long now, long key) {
        int slot = counterSlot(key);
        if (counterKeys[slot] == key) {
            counterValues[slot]++;
        } else if (--counterValues[slot] < 0) {
            counterKeys[slot] = key;
            counterValues[slot] = 1;
        }
        if (++countedRequests >= HALVING_REQUESTS
                || now - halvedAt > HALVING_INTERVAL_NS && countedRequests > MIN_COUNTED_REQUESTS) {
            halvedAt = now;
            countedRequests /= 2;
            for (int i = 0; i < COUNTER_SLOTS; i++) {
                counterValues[i] /= 2;
            }
        }
    }

    /**
     * Returns how many candidates a key has: in proportion to its share of our traffic, so that a hot key
     * does not overload its two default hosts. Two of its requests are left out of the share, so that a key
     * seen once or twice does not count as hot.
     */
    private int candidateCount(long key) {
        int slot = counterSlot(key);
        if (counterKeys[slot] != key || countedRequests < MIN_COUNTED_REQUESTS) {
            return DEFAULT_CANDIDATES;
        }
        double share = (counterValues[slot] - 2.0) / countedRequests;
        return (int) Math.max(DEFAULT_CANDIDATES,
                Math.min(MAX_CANDIDATES, Math.ceil(share * health.cacheCount * HOT_KEY_CAPACITY_FACTOR)));
    }

    /**
     * Returns the candidate with the fewest of our attempts in flight, or null if no host is eligible. A
     * failure outlier counts as having {@link #OUTLIER_IN_FLIGHT_PENALTY} more. Among equals the first in the
     * ranking is selected, unless it is slower than a later one.
     *
     * @param preferOwnZone whether to prefer an idle candidate in our own zone to an idle one in another
     *         zone, unless it is slower: traffic between zones takes time and costs money
     */
    Host selectLeastInFlight(long now, boolean preferOwnZone) {
        // With many balancers most in-flight counts are 0 and do not tell hosts apart; latency does.
        Host best = null;
        int fewest = 0;
        for (int i = 0; i < count && i < candidateCount; i++) {
            int inFlight = rankedHosts[i].inFlight
                    + (health.isFailureOutlier(now, rankedHosts[i]) ? OUTLIER_IN_FLIGHT_PENALTY : 0);
            boolean isPreferredForZone = preferOwnZone && inFlight == 0 && rankedHosts[i].isInOwnZone
                    && best != null && !best.isInOwnZone
                    && rankedHosts[i].latencyNs <= SLOWER_LATENCY_RATIO * best.latencyNs;
            if (best == null || inFlight < fewest
                    || inFlight == fewest && best.latencyNs > SLOWER_LATENCY_RATIO * rankedHosts[i].latencyNs
                    || inFlight == fewest && isPreferredForZone) {
                best = rankedHosts[i];
                fewest = inFlight;
            }
        }
        return best;
    }

    private static int counterSlot(long key) {
        return (int) (mix64(key) & (COUNTER_SLOTS - 1));
    }

    /** The 64-bit finalizer of SplitMix64: each bit of the input affects every bit of the output. */
    static long mix64(long bits) {
        bits = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
        bits = (bits ^ (bits >>> 27)) * 0x94d049bb133111ebL;
        return bits ^ (bits >>> 31);
    }

    /** Maps the upper 53 bits of a well mixed number to [0, 1). */
    static double toUnitInterval(long mixed) {
        return (mixed >>> 11) * UNIT_SCALE;
    }
}
