package eiderscale;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Converts the start times that discovery reports for hosts to the balancer's clock, in nanoseconds.
 *
 * <p>The balancer's clock is monotonic, while reported start times are read off a wall clock, which may be
 * stepped. Whatever that clock says, a start that the previous list did not contain happened between the
 * previous list and the current one.
 */
final class StartTimes {
    /** Value of {@link #lastListAt} while it is unknown. */
    private static final long UNKNOWN_TIME = Long.MIN_VALUE;
    /** Longest delay between a host's start and the first list that could have reported it. */
    private static final long MAX_REPORT_LAG_NS = 2_000_000_000L;
    /** Most hosts whose reported start is kept. */
    private static final int MAX_HOSTS = 8_192;

    /**
     * The last reported start of each host, including hosts no longer listed. Above {@link #MAX_HOSTS}
     * entries the oldest one is evicted.
     */
    private final Map<Long, Long> reportedStarts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_HOSTS;
        }
    };
    /** When the last list arrived; unknown until this process has received one from discovery. */
    private long lastListAt = UNKNOWN_TIME;

    /**
     * Records the start time that a list reports for a host.
     *
     * @param reportedStart the reported time, 0 if unknown
     * @return whether the time is known and differs from the last one: the host is new or has restarted
     */
    boolean recordReportedStart(long hostId, long reportedStart) {
        Long previous = reportedStarts.put(hostId, reportedStart);
        return reportedStart != 0 && (previous == null || previous != reportedStart);
    }

    /**
     * Returns the actual time of a start that the list received at {@code now} is the first to report. If the
     * reported time cannot be right, returns the latest possible time, {@code now}: a slow start that lasts
     * too long does a host no harm.
     */
    long toActualStart(long now, long reportedStart) {
        boolean isAfterLastList = lastListAt == UNKNOWN_TIME
                || reportedStart >= lastListAt - MAX_REPORT_LAG_NS;
        return reportedStart <= now && isAfterLastList ? reportedStart : now;
    }

    /**
     * Records that a list has been applied.
     *
     * @param isCached whether the list dates from before this process, so that its age is unknown
     */
    void onListApplied(long now, boolean isCached) {
        lastListAt = isCached ? UNKNOWN_TIME : now;
    }
}
