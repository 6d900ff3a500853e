package eiderscale.net;

/**
 * The memory for undecoded input of all client connections, and the decision how much of it each may take up. All
 * methods must be called on the event loop.
 */
final class InputMemory {
    /** Undecoded input that a connection may buffer, in bytes. */
    private static final int MAX_BYTES_PER_CONNECTION = 512 * 1024;
    /** Undecoded input of all connections above which each may buffer only little. */
    private static final long MAX_TOTAL_BYTES = 4L * 1024 * 1024;
    /** Undecoded input that a connection may buffer even while the total is exceeded. */
    private static final int MIN_BYTES_PER_CONNECTION = 32 * 1024;
    /** Undecoded input that a connection may buffer even while the memory is used up. */
    private static final int MIN_BYTES_WITHOUT_MEMORY = 4 * 1024;
    private static final int MAX_READ_BYTES = 64 * 1024;
    /** Part of the memory budget up to which more than a little input may be buffered. */
    private static final double INPUT_FRACTION = 0.8;

    private final MemoryBudget budget;
    private long totalBytes;

    InputMemory(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Records that the input of a connection takes up more memory than before, or less if negative. */
    void add(int bytes) {
        totalBytes += bytes;
        budget.add(bytes);
    }

    private boolean isScarce() {
        return budget.usedBytes() >= budget.limitBytes() * INPUT_FRACTION;
    }

    /**
     * Returns how much undecoded input a connection may buffer, in bytes.
     *
     * @param connections the number of connections
     */
    int maxBytesPerConnection(int connections) {
        if (isScarce()) {
            long share = MAX_TOTAL_BYTES / Math.max(1, connections);
            return (int) Math.max(MIN_BYTES_WITHOUT_MEMORY, Math.min(MIN_BYTES_PER_CONNECTION, share));
        }
        return totalBytes > MAX_TOTAL_BYTES ? MIN_BYTES_PER_CONNECTION : MAX_BYTES_PER_CONNECTION;
    }

    /** Returns how much may be read at once: little while many connections may have much to read. */
    int maxReadBytes() {
        return totalBytes > MAX_TOTAL_BYTES || isScarce() ? MIN_BYTES_WITHOUT_MEMORY : MAX_READ_BYTES;
    }
}
