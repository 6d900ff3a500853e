package eiderscale.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What the reply queues of all client connections share: the memory for their replies, and the decision which of them
 * gives up a value when there is too little. All methods must be called on the event loop.
 */
final class ReplyMemory implements MemoryBudget.Reclaimer {
    /**
     * Part of the memory budget up to which a connection may start commands behind others that have no reply yet. The
     * rest is for connections with one command, whose replies can be written as soon as they arrive.
     */
    private static final double PIPELINING_FRACTION = 0.6;
    /** Part of the memory budget from which on memory is scarce. */
    private static final double SCARCITY_FRACTION = 0.5;
    /** Bytes passed to the channels of all connections above which each gets its replies in small pieces. */
    private static final long MAX_TOTAL_BYTES_BEING_WRITTEN = 4L * 1024 * 1024;
    /** The estimate of a reply's size falls by this fraction of the difference with each smaller reply. */
    private static final int SIZE_ESTIMATE_DECAY_DIVISOR = 64;

    private final MemoryBudget budget;
    /** The queues that are not empty. */
    private final Set<ReplyQueue> queues = new LinkedHashSet<>();
    /** Reads of all connections that have no reply yet. */
    private int unansweredReads;
    /** Estimated size of the reply to a read, in bytes: the largest one lately. */
    private int replySizeEstimate = MetaFrame.MAX_VALUE_BYTES;
    /** Bytes in direct memory that were passed to channels and not yet written to their sockets. */
    private long bytesBeingWritten;
    /** Replies whose value was given up for lack of memory. */
    private long droppedValues;

    ReplyMemory(MemoryBudget budget) {
        this.budget = budget;
        budget.setReclaimer(this);
    }

    void register(ReplyQueue queue) {
        queues.add(queue);
    }

    void unregister(ReplyQueue queue) {
        queues.remove(queue);
    }

    /** Whether a command may be started whose reply would have to wait for those to earlier commands. */
    boolean hasRoomForPipelinedCommand() {
        long expectedBytes = (unansweredReads + 1L) * replySizeEstimate;
        return budget.usedBytes() + expectedBytes <= budget.limitBytes() * PIPELINING_FRACTION;
    }

    /** Whether so much memory is used that clients that do not read their replies have to be disconnected. */
    boolean isScarce() {
        return budget.usedBytes() > budget.limitBytes() * SCARCITY_FRACTION;
    }

    /** Drops the last value that waits in the queue that holds most; returns false if no value waits. */
    @Override
    public boolean reclaim() {
        ReplyQueue largest = null;
        for (ReplyQueue queue : queues) {
            if (largest == null || queue.waitingBytes() > largest.waitingBytes()) {
                largest = queue;
            }
        }
        boolean isDropped = largest != null && largest.dropLastWaitingValue();
        droppedValues += isDropped ? 1 : 0;
        return isDropped;
    }

    void onReadStarted() {
        unansweredReads++;
    }

    void onReadEnded() {
        unansweredReads--;
    }

    /** Updates the estimate of the size of a reply to a read. */
    void recordReadReply(int bytes) {
        int decayed = replySizeEstimate - (replySizeEstimate - bytes) / SIZE_ESTIMATE_DECAY_DIVISOR;
        replySizeEstimate = Math.max(bytes, decayed);
    }

    void add(int bytes) {
        budget.add(bytes);
    }

    void release(int bytes) {
        budget.release(bytes);
    }

    void onWriteStarted(int bytes) {
        bytesBeingWritten += bytes;
    }

    void onWriteEnded(int bytes) {
        bytesBeingWritten -= bytes;
    }

    /** Whether so much is being written that each connection may only have a small piece in direct memory. */
    boolean isWritingScarce() {
        return bytesBeingWritten > MAX_TOTAL_BYTES_BEING_WRITTEN;
    }

    /** Returns the current values for the metrics line. */
    String gauges() {
        return "held-kb " + budget.usedBytes() / 1024 + " dropped-values " + droppedValues;
    }
}
