package eiderscale.net;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a byte stream into {@link MetaFrame}s. The syntax is checked strictly, and memory is bounded: an overlong line
 * or value is discarded as it arrives, without being buffered as a whole, and parsing continues after it.
 */
final class MetaParser {
    /**
     * Maximum length of a line without its line feed. This is far above the longest valid line, which holds a key of
     * 250 bytes, an opaque and a list of parameters.
     */
    static final int MAX_LINE_BYTES = 2048;
    /** Maximum number of digits of a data block's length, so that it fits an int. */
    private static final int MAX_LENGTH_DIGITS = 9;
    private static final int CRLF_BYTES = 2;
    private static final byte[] EMPTY_DATA = new byte[0];
    // Shared, so that reporting an error needs no memory.
    private static final MetaFrame BAD_DATA_CHUNK = MetaFrame.protocolError("CLIENT_ERROR bad data chunk");
    private static final MetaFrame LINE_TOO_LONG = MetaFrame.protocolError("CLIENT_ERROR line too long");
    private static final MetaFrame VALUE_TOO_LARGE = MetaFrame.protocolError("CLIENT_ERROR value too large");
    private static final MetaFrame NO_CRLF = MetaFrame.protocolError("CLIENT_ERROR lines end in CRLF");
    private static final MetaFrame CONTROL_CHARACTER =
            MetaFrame.protocolError("CLIENT_ERROR control character in line");
    private static final MetaFrame EMPTY_LINE = MetaFrame.protocolError("ERROR");

    /** First token of the lines that are followed by a data block. */
    private final String dataKeyword;
    /** Index of the token of such a line that holds the length of the data block. */
    private final int lengthIndex;
    /** Where the memory of {@link #dataLine} and {@link #data} is reserved until the block is complete. */
    private final MemoryBudget memoryBudget;
    /** Whether small requests have priority over what is parsed here. */
    private final boolean isOfCommands;
    /** The line that announced the data block being read. */
    private String dataLine;
    /** The part of a data block that has been read, null if there is none; it grows as the block arrives. */
    private byte[] data;
    private int dataLength;
    private int dataBytesRead;
    /** Bytes of a data block that is not kept, and of its CRLF, that are still to be discarded. */
    private long bytesToDiscard;
    /** Whether input is discarded up to the next line feed. */
    private boolean isDiscardingLine;

    private MetaParser(String dataKeyword, int lengthIndex, MemoryBudget memoryBudget, boolean isOfCommands) {
        this.dataKeyword = dataKeyword;
        this.lengthIndex = lengthIndex;
        this.memoryBudget = memoryBudget;
        this.isOfCommands = isOfCommands;
    }

    /** Returns a parser of client commands, of which {@code ms} has a data block. */
    static MetaParser forCommands(MemoryBudget memoryBudget) {
        return new MetaParser("ms", 2, memoryBudget, true);
    }

    /** Returns a parser of cache host responses, of which {@code VA} has a data block. */
    static MetaParser forResponses(MemoryBudget memoryBudget) {
        return new MetaParser("VA", 1, memoryBudget, false);
    }

    /** Whether the end of the last frame has not arrived, or part of the next one has been taken out of the input. */
    boolean isInsideFrame() {
        return data != null || bytesToDiscard > 0 || isDiscardingLine;
    }

    /** Whether part of a frame has been taken out of the input for which nothing has been returned yet. */
    boolean isInsideData() {
        return data != null;
    }

    /** Whether input is being discarded that belongs to a frame that has been returned. */
    boolean isDiscarding() {
        return bytesToDiscard > 0 || isDiscardingLine;
    }

    /**
     * Takes the next frame out of the input.
     *
     * @return the frame, or null if the input does not hold a complete one
     * @throws OutOfMemoryError if there is no heap for it; the input and this parser are as they were before
     */
    MetaFrame next(ByteBuf in) {
        return next(in, true);
    }

    /** Like {@link #next(ByteBuf)}, but a frame's data block is discarded, and the frame is returned without it. */
    MetaFrame nextWithoutData(ByteBuf in) {
        return next(in, false);
    }

    private MetaFrame next(ByteBuf in, boolean keepsData) {
        discard(in);
        if (bytesToDiscard > 0 || isDiscardingLine) {
            return null;
        }
        if (data == null) {
            MetaFrame frame = nextLine(in);
            if (frame != null || data == null) {
                return frame;
            }
        }
        return keepsData ? nextData(in) : dropData();
    }

    /** Discards what is left of an overlong line or of a data block that is not kept. */
    private void discard(ByteBuf in) {
        int count = (int) Math.min(bytesToDiscard, in.readableBytes());
        in.skipBytes(count);
        bytesToDiscard -= count;
        if (isDiscardingLine) {
            int length = in.bytesBefore((byte) '\n');
            isDiscardingLine = length < 0;
            in.skipBytes(length < 0 ? in.readableBytes() : length + 1);
        }
    }

    /** Reads a line; returns null if it is not complete, or is followed by a data block, which begins then. */
    private MetaFrame nextLine(ByteBuf in) {
        int searched = Math.min(in.readableBytes(), MAX_LINE_BYTES + 1);
        int length = in.bytesBefore(searched, (byte) '\n');
        if (length < 0 && searched <= MAX_LINE_BYTES) {
            return null;
        }
        if (length < 0) {
            isDiscardingLine = true;
            discard(in);
            return LINE_TOO_LONG;
        }
        int lineStart = in.readerIndex();
        boolean endsInCrlf = length > 0 && in.getByte(lineStart + length - 1) == '\r';
        MetaFrame frame = endsInCrlf
                ? parseLine(in.toString(lineStart, length - 1, StandardCharsets.ISO_8859_1)) : NO_CRLF;
        in.skipBytes(length + 1);
        return frame;
    }

    private MetaFrame parseLine(String line) {
        if (hasControlCharacter(line)) {
            return CONTROL_CHARACTER;
        }
        String keyword = MetaFrame.token(line, 0);
        if (keyword == null) {
            return EMPTY_LINE;
        }
        return keyword.equals(dataKeyword) ? beginData(line) : new MetaFrame(line, null, null);
    }

    private static boolean hasControlCharacter(String line) {
        for (int i = 0; i < line.length(); i++) {
            if (line.charAt(i) < ' ' || line.charAt(i) == 0x7f) {
                return true;
            }
        }
        return false;
    }

    /** Begins a data block; returns a frame if there is none to be read. */
    private MetaFrame beginData(String line) {
        String lengthToken = MetaFrame.token(line, lengthIndex);
        if (lengthToken == null || lengthToken.length() > MAX_LENGTH_DIGITS
                || !lengthToken.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return BAD_DATA_CHUNK;
        }
        int length = Integer.parseInt(lengthToken);
        if (length > MetaFrame.MAX_VALUE_BYTES) {
            bytesToDiscard = (long) length + CRLF_BYTES;
            return VALUE_TOO_LARGE;
        }
        dataLength = length;
        dataBytesRead = 0;
        if (!tryReserve(line.length())) {
            MetaFrame frame = MetaFrame.valueDropped(line);
            bytesToDiscard = (long) length + CRLF_BYTES;
            return frame;
        }
        dataLine = line;
        data = EMPTY_DATA;
        return null;
    }

    private MetaFrame nextData(ByteBuf in) {
        int count = Math.min(dataLength - dataBytesRead, in.readableBytes());
        if (!ensureDataCapacity(dataBytesRead + count)) {
            in.skipBytes(count);
            dataBytesRead += count;
            return dropData();
        }
        in.readBytes(data, dataBytesRead, count);
        dataBytesRead += count;
        if (dataBytesRead < dataLength || in.readableBytes() < CRLF_BYTES) {
            return null;
        }
        boolean isTerminated =
                in.getByte(in.readerIndex()) == '\r' && in.getByte(in.readerIndex() + 1) == '\n';
        MetaFrame frame = isTerminated ? new MetaFrame(dataLine, data, null) : BAD_DATA_CHUNK;
        releaseData();
        if (isTerminated) {
            in.skipBytes(CRLF_BYTES);
        } else {
            isDiscardingLine = true;
        }
        return frame;
    }

    /**
     * Makes room for the first {@code bytes} bytes of the data block. It grows by doubling, so that a peer has to send
     * a value to make it held. Returns false if there is no memory.
     */
    private boolean ensureDataCapacity(int bytes) {
        if (bytes <= data.length) {
            return true;
        }
        int capacity = Math.min(dataLength, Math.max(bytes, 2 * data.length));
        if (!tryReserve(capacity - data.length)) {
            return false;
        }
        try {
            data = Arrays.copyOf(data, capacity);
            return true;
        } catch (OutOfMemoryError e) {
            memoryBudget.release(capacity - data.length);
            return false;
        }
    }

    private boolean tryReserve(int bytes) {
        return isOfCommands ? memoryBudget.tryReserveForInput(bytes) : memoryBudget.tryReserve(bytes);
    }

    /** Gives up the data block; what is left of it is discarded as it arrives. */
    private MetaFrame dropData() {
        MetaFrame frame = MetaFrame.valueDropped(dataLine);
        bytesToDiscard = (long) dataLength - dataBytesRead + CRLF_BYTES;
        releaseData();
        return frame;
    }

    /** Releases what has been read of a data block. Nothing may be parsed after that. */
    void releaseData() {
        if (data != null) {
            memoryBudget.release((long) data.length + dataLine.length());
            data = null;
            dataLine = null;
        }
    }
}
