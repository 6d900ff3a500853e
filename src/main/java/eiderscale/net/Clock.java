package eiderscale.net;

/**
 * The program's clock: monotonic Unix time in nanoseconds. It is {@link System#nanoTime} plus an offset that is fixed
 * when the program starts, so it never goes back and can be compared with the start times that discovery sends.
 */
final class Clock {
    /** Nanoseconds in a millisecond. */
    static final long MILLISECOND = 1_000_000L;
    /** Nanoseconds in a second. */
    static final long SECOND = 1_000_000_000L;
    private static final long UNIX_OFFSET_NS = System.currentTimeMillis() * MILLISECOND - System.nanoTime();

    private Clock() {
    }

    /** Returns the current time in nanoseconds since the Unix epoch. */
    static long now() {
        return System.nanoTime() + UNIX_OFFSET_NS;
    }
}
