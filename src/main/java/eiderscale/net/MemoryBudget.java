package eiderscale.net;

/**
 * The heap memory that peers make this process hold, in bytes: undecoded input, requests, values being read, and
 * replies that wait for earlier ones or for their client to read. Each part adds what it holds and releases it again.
 * All methods must be called on the event loop.
 */
final class MemoryBudget {
    /** Frees memory by giving up something that is held. */
    interface Reclaimer {
        /** Returns whether something was given up; false if there is nothing to give up. */
        boolean reclaim();
    }

    /** Limit for the heap size of the deploy file; the rest is for the program itself and for short-lived objects. */
    private static final long MAX_BYTES = 20L * 1024 * 1024;
    /** Limit as a fraction of the largest heap, for smaller heaps. */
    private static final double MAX_HEAP_FRACTION = 0.42;

    /** Part of the limit up to which commands that are being received may take up memory. */
    private static final double INPUT_FRACTION = 0.95;

    private final long limitBytes;
    private long usedBytes;
    private Reclaimer reclaimer = () -> false;

    MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns a budget that fits the heap of this process. */
    static MemoryBudget ofThisProcess() {
        return new MemoryBudget(Math.min(MAX_BYTES, (long) (Runtime.getRuntime().maxMemory() * MAX_HEAP_FRACTION)));
    }

    /** Sets what is called when a reservation does not fit. */
    void setReclaimer(Reclaimer reclaimer) {
        this.reclaimer = reclaimer;
    }

    /** Reserves memory within the limit, after reclaiming some if necessary; returns false if there is not enough. */
    boolean tryReserve(int bytes) {
        return tryReserve(bytes, limitBytes);
    }

    /** Like {@link #tryReserve(int)}, for part of a command that is being received: leaves room for small requests. */
    boolean tryReserveForInput(int bytes) {
        return tryReserve(bytes, (long) (limitBytes * INPUT_FRACTION));
    }

    private boolean tryReserve(int bytes, long limit) {
        while (usedBytes + bytes > limit) {
            if (!reclaimer.reclaim()) {
                return false;
            }
        }
        usedBytes += bytes;
        return true;
    }

    /** Adds memory that is held already, even above the limit; for what has a limit of its own. */
    void add(long bytes) {
        usedBytes += bytes;
    }

    /** Releases memory that was reserved or added. */
    void release(long bytes) {
        usedBytes -= bytes;
    }

    long usedBytes() {
        return usedBytes;
    }

    long limitBytes() {
        return limitBytes;
    }
}
