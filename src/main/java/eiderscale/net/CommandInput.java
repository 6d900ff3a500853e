package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The input of one client connection: keeps it undecoded on the heap, and decodes one command at a time when asked to.
 * So whatever a client sends takes up no more memory than its bytes until a command is processed.
 */
final class CommandInput {
    /** Capacity of the smallest buffer. */
    private static final int MIN_CAPACITY = 64;
    /** Capacity up to which a buffer is not replaced by a smaller one. */
    private static final int MAX_SPARE_CAPACITY = 256;
    /** A buffer grows to twice its size, but not by more than this. */
    private static final int MAX_SPARE_BYTES = 64 * 1024;

    private final MetaParser parser;
    private final ArrivalTimes arrivalTimes = new ArrivalTimes();
    private ByteBuf buffer = Unpooled.EMPTY_BUFFER;
    /** The input of the last read if there was no heap for it, else null. */
    private ByteBuf unstored;
    private boolean isDiscarding;

    CommandInput(MemoryBudget memoryBudget) {
        parser = MetaParser.forCommands(memoryBudget);
    }

    /**
     * Takes over input, or discards it if that was requested.
     *
     * @param receivedAt when it was received, see {@link #frameReceivedAt}
     * @return whether there was heap to store it; if not, see {@link #hasUnstored}
     */
    boolean append(ByteBuf input, long receivedAt) {
        if (isDiscarding || !input.isReadable()) {
            input.release();
            return true;
        }
        unstored = input;
        arrivalTimes.onReceived(input.readableBytes(), receivedAt);
        try {
            store();
            return true;
        } catch (OutOfMemoryError e) {
            return false;
        }
    }

    /** Stores the input for which there was no heap, if any. */
    private void store() {
        if (unstored != null) {
            ensureWritable(unstored.readableBytes());
            buffer.writeBytes(unstored);
            unstored.release();
            unstored = null;
        }
    }

    /** Whether there was no heap for the last input, so that nothing may be added until a command was taken out. */
    boolean hasUnstored() {
        return unstored != null;
    }

    private void ensureWritable(int bytes) {
        if (buffer.capacity() - buffer.writerIndex() >= bytes) {
            return;
        }
        int length = buffer.readableBytes() + bytes;
        // Moved only if at least half of the buffer is free, so that the cost for each byte is bounded.
        if (buffer.readerIndex() >= buffer.capacity() / 2 && buffer.capacity() >= length) {
            buffer.discardReadBytes();
            return;
        }
        int spareBytes = Math.min(buffer.capacity(), MAX_SPARE_BYTES);
        replaceBuffer(Math.max(MIN_CAPACITY, length + (buffer.isReadable() ? spareBytes : 0)));
    }

    private void replaceBuffer(int capacity) {
        ByteBuf replacement = Unpooled.buffer(capacity);
        replacement.writeBytes(buffer);
        buffer.release();
        buffer = replacement;
    }

    /**
     * Takes out the next command.
     *
     * @return the command, or null if none is complete
     * @throws OutOfMemoryError if there is no heap for it; it can be asked for again
     */
    MetaFrame next() {
        store();
        return parser.next(buffer);
    }

    /** Like {@link #next}, but a value is discarded, and its command is returned without it. */
    MetaFrame nextWithoutData() {
        store();
        return parser.nextWithoutData(buffer);
    }

    /** Gives back memory that is not needed for what is left. If there is no heap to do so, keeps it as it is. */
    void shrink() {
        int length = buffer.readableBytes();
        if (length == 0) {
            buffer.release();
            buffer = Unpooled.EMPTY_BUFFER;
        } else if (buffer.capacity() > MAX_SPARE_CAPACITY && buffer.capacity() / 4 > length) {
            try {
                replaceBuffer(Math.max(MIN_CAPACITY, length));
            } catch (OutOfMemoryError e) {
                // Tried again after the next command.
            }
        }
    }

    /** Discards what there is and all further input, permanently. */
    void discardAll() {
        isDiscarding = true;
        release();
    }

    boolean isDiscarding() {
        return isDiscarding;
    }

    /** Releases the memory. Nothing may be added after that. */
    void release() {
        parser.releaseData();
        buffer.release();
        buffer = Unpooled.EMPTY_BUFFER;
        if (unstored != null) {
            unstored.release();
            unstored = null;
        }
    }

    /** Returns the number of bytes that are not decoded. */
    int undecodedBytes() {
        return buffer.readableBytes() + (unstored == null ? 0 : unstored.readableBytes());
    }

    /** Returns the heap memory that undecoded input takes up. What a value takes up is reserved by the parser. */
    int memoryBytes() {
        return buffer.capacity() + arrivalTimes.memoryBytes();
    }

    /** Whether a command has begun to arrive and nothing has been returned for it yet, not even an error. */
    boolean hasIncompleteFrame() {
        return parser.isInsideData() || !parser.isDiscarding() && undecodedBytes() > 0;
    }

    /** Returns when the last byte of the command was received that was returned last. */
    long frameReceivedAt() {
        return arrivalTimes.receivedAt(undecodedBytes());
    }
}
