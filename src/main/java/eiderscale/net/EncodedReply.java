package eiderscale.net;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * The bytes of a reply on the heap, which may stand for many equal replies in a row, and how many of them were written.
 * The memory that it takes does not depend on the number of copies.
 */
final class EncodedReply {
    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] NO_DATA = {};
    private static final byte[] BUSY_LINE = Command.BUSY_REPLY.getBytes(StandardCharsets.ISO_8859_1);

    private final byte[] line;
    /** The data block without its CRLF; {@link #NO_DATA} if there is none. */
    private final byte[] data;
    /** Length of one copy in bytes. */
    private final int copyBytes;
    private long totalBytes;
    private long writtenBytes;

    private EncodedReply(byte[] line, byte[] data) {
        this.line = line;
        this.data = data == null ? NO_DATA : data;
        this.copyBytes = line.length + (data == null ? 0 : data.length + CRLF.length);
        this.totalBytes = copyBytes;
    }

    /** Returns a reply of a line, which includes its CRLF, and a data block unless that is null. */
    static EncodedReply of(String line, byte[] data) {
        // The bytes of the most common line are shared: a command can be rejected without memory for its reply.
        byte[] lineBytes =
                line.equals(Command.BUSY_REPLY) ? BUSY_LINE : line.getBytes(StandardCharsets.ISO_8859_1);
        return new EncodedReply(lineBytes, data);
    }

    /** Adds one more copy of the reply behind those that there are. */
    void addCopy() {
        totalBytes += copyBytes;
    }

    /** Returns the heap memory of the bytes, whether written or not. */
    int memoryBytes() {
        return line.length + data.length;
    }

    int dataBytes() {
        return data.length;
    }

    /** Returns the number of bytes that are not written yet. */
    long remainingBytes() {
        return totalBytes - writtenBytes;
    }

    /** Moves the next bytes to a buffer, at most {@code maxBytes}. */
    void writeTo(ByteBuf target, int maxBytes) {
        int left = (int) Math.min(maxBytes, remainingBytes());
        while (left > 0) {
            int offset = (int) (writtenBytes % copyBytes);
            int count = writePart(target, offset, left);
            writtenBytes += count;
            left -= count;
        }
    }

    /** Writes from one part of a copy, the one that {@code offset} lies in; returns the number of bytes. */
    private int writePart(ByteBuf target, int offset, int maxBytes) {
        byte[] part = offset < line.length ? line : offset < line.length + data.length ? data : CRLF;
        int partOffset = offset - (part == line ? 0 : part == data ? line.length : line.length + data.length);
        int count = Math.min(maxBytes, part.length - partOffset);
        target.writeBytes(part, partOffset, count);
        return count;
    }
}
