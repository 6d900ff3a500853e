package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Decodes a byte stream into {@link MetaFrame}s. The syntax is checked strictly, and memory is bounded: an overlong
 * line or value is discarded as it arrives, without being buffered as a whole, and decoding continues after it.
 *
 * <p>Decoding can be paused while reading continues, so that the end of the stream is still detected.
 */
final class MetaDecoder extends ByteToMessageDecoder {
    /**
     * Maximum length of a line without its line feed. This is far above the longest valid line, which holds a key of
     * 250 bytes, an opaque and a list of parameters.
     */
    static final int MAX_LINE_BYTES = 2048;
    /** Undecoded bytes above which reading stops; the end of the stream is then not detected. */
    private static final int MAX_BUFFERED_BYTES = 512 * 1024;
    /** Maximum number of digits of a data block's length, so that it fits an int. */
    private static final int MAX_LENGTH_DIGITS = 9;
    private static final int CRLF_BYTES = 2;
    /** Capacity of the smallest buffer for undecoded input. */
    private static final int MIN_UNDECODED_CAPACITY = 64;
    private static final Cumulator HEAP_CUMULATOR = (alloc, undecoded, input) -> appendOnHeap(undecoded, input);
    private static final byte[] EMPTY_DATA = new byte[0];
    private static final String BAD_DATA_CHUNK = "CLIENT_ERROR bad data chunk";

    /** First token of the lines that are followed by a data block. */
    private final String dataKeyword;
    /** Index of the token of such a line that holds the length of the data block. */
    private final int lengthIndex;
    /** Where the memory of {@link #data} is reserved until the block is complete. */
    private final MemoryBudget memoryBudget;
    private final LongSupplier receiveClock;
    private final Runnable bufferListener;
    private final ArrivalTimes arrivalTimes = new ArrivalTimes();
    /** The line that announced the data block being read. */
    private List<String> dataLineTokens;
    /** The part of a data block that has been read, null if there is none; it grows as the block arrives. */
    private byte[] data;
    private int dataLength;
    private int dataBytesRead;
    /** Bytes of an overlong data block and its CRLF that are still to be discarded. */
    private long bytesToDiscard;
    /** Whether input is discarded up to the next line feed. */
    private boolean isDiscardingLine;
    private Mode mode = Mode.DECODING;

    private MetaDecoder(String dataKeyword, int lengthIndex, MemoryBudget memoryBudget, LongSupplier receiveClock,
                        Runnable bufferListener) {
        this.dataKeyword = dataKeyword;
        this.lengthIndex = lengthIndex;
        this.memoryBudget = memoryBudget;
        this.receiveClock = receiveClock;
        this.bufferListener = bufferListener;
        setCumulator(HEAP_CUMULATOR);
    }

    /**
     * Appends input to what is left undecoded. That is copied to a heap buffer of its size: a read buffer is up to
     * 64 KiB of direct memory, which a peer could take up with a few bytes.
     */
    private static ByteBuf appendOnHeap(ByteBuf undecoded, ByteBuf input) {
        if (!undecoded.isReadable() && input.isReadable()) {
            undecoded.release();
            return input;
        }
        try {
            int length = undecoded.readableBytes() + input.readableBytes();
            ByteBuf target = undecoded.hasArray() && undecoded.maxWritableBytes() >= input.readableBytes()
                    && !isOversized(undecoded, length) ? undecoded.discardReadBytes() : newHeapBuffer(length);
            if (target != undecoded) {
                target.writeBytes(undecoded);
                undecoded.release();
            }
            return target.writeBytes(input);
        } catch (OutOfMemoryError e) {
            // Not an Error: after lost input the stream cannot be decoded any more, and the connection has to end.
            throw new IllegalStateException("no memory for input", e);
        } finally {
            input.release();
        }
    }

    private static boolean isOversized(ByteBuf buffer, int length) {
        return buffer.capacity() > 2 * Math.max(MIN_UNDECODED_CAPACITY, length);
    }

    private static ByteBuf newHeapBuffer(int length) {
        return Unpooled.buffer(Math.max(MIN_UNDECODED_CAPACITY, length));
    }

    /**
     * Returns a decoder of client commands, of which {@code ms} has a data block.
     *
     * @param receiveClock called on each read; returns when its bytes were received, see {@link #frameReceivedAt}
     * @param bufferListener called when input was buffered undecoded; may stop reading
     */
    static MetaDecoder forCommands(MemoryBudget memoryBudget, LongSupplier receiveClock, Runnable bufferListener) {
        return new MetaDecoder("ms", 2, memoryBudget, receiveClock, bufferListener);
    }

    /** Returns a decoder of cache host responses, of which {@code VA} has a data block. */
    static MetaDecoder forResponses(MemoryBudget memoryBudget) {
        return new MetaDecoder("VA", 1, memoryBudget, Clock::now, () -> { });
    }

    private enum Mode {
        /** Input is decoded as it arrives. */
        DECODING,
        /** Input is buffered undecoded. */
        PAUSED,
        /** Buffered input is decoded as usual, but its frames are to be rejected by the receiver. */
        REJECTING,
        /** All input is discarded, permanently. */
        DISCARDING
    }

    /** Pauses decoding: further input is buffered undecoded, and reading continues. */
    void pause() {
        mode = mode == Mode.DECODING ? Mode.PAUSED : mode;
    }

    boolean isPaused() {
        return mode == Mode.PAUSED;
    }

    /** Ends the pause and decodes the buffered input within this call. */
    void resume(ChannelHandlerContext ctx) throws Exception {
        mode = mode == Mode.PAUSED ? Mode.DECODING : mode;
        channelRead(ctx, Unpooled.EMPTY_BUFFER);
        shrinkBuffer(ctx);
    }

    /** Decodes the buffered input within this call, for its frames to be rejected; then stays paused. */
    void decodeForRejection(ChannelHandlerContext ctx) throws Exception {
        mode = mode == Mode.PAUSED ? Mode.REJECTING : mode;
        try {
            channelRead(ctx, Unpooled.EMPTY_BUFFER);
        } finally {
            mode = mode == Mode.REJECTING ? Mode.PAUSED : mode;
        }
        shrinkBuffer(ctx);
    }

    /** Whether the frames that are being emitted are to be rejected. */
    boolean isRejecting() {
        return mode == Mode.REJECTING;
    }

    /** Discards all buffered and further input, permanently. */
    void discardInput() {
        mode = Mode.DISCARDING;
    }

    boolean isDiscarding() {
        return mode == Mode.DISCARDING;
    }

    /** Whether so much input is buffered that reading has to stop. */
    boolean isBufferFull() {
        return bufferedBytes() > MAX_BUFFERED_BYTES;
    }

    /** Returns the memory that undecoded input takes up while paused, in bytes; 0 in other modes. */
    int bufferedBytes() {
        return mode == Mode.PAUSED ? internalBuffer().capacity() : 0;
    }

    /** Releases the read buffer, of which little may be left undecoded, before the read is complete. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        shrinkBuffer(ctx);
        super.channelReadComplete(ctx);
    }

    /** Moves the undecoded input to a buffer of its size if it is in a read buffer or a much larger one. */
    private void shrinkBuffer(ChannelHandlerContext ctx) throws Exception {
        int length = actualReadableBytes();
        if (length > 0 && (!internalBuffer().hasArray() || isOversized(internalBuffer(), length))) {
            super.channelRead(ctx, Unpooled.EMPTY_BUFFER);
        }
    }

    /** Whether a frame, valid or not, has begun to arrive and is not complete. */
    boolean isInsideFrame() {
        return data != null || bytesToDiscard > 0 || isDiscardingLine || actualReadableBytes() > 0;
    }

    /** Whether a frame has begun to arrive and nothing has been emitted for it yet, not even a protocol error. */
    boolean hasIncompleteFrame() {
        return mode == Mode.DECODING
                && (data != null || bytesToDiscard == 0 && !isDiscardingLine && actualReadableBytes() > 0);
    }

    /** Returns when the last byte of the frame was received that is being emitted. */
    long frameReceivedAt() {
        return arrivalTimes.receivedAt(actualReadableBytes());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes && bytes.isReadable()) {
            arrivalTimes.onReceived(bytes.readableBytes(), receiveClock.getAsLong());
        }
        super.channelRead(ctx, message);
        if (mode == Mode.PAUSED) {
            bufferListener.run();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (mode == Mode.DISCARDING) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (mode == Mode.PAUSED) {
            return;
        }
        int frameStart = in.readerIndex();
        try {
            decodeFrame(in, out);
        } catch (OutOfMemoryError e) {
            in.readerIndex(frameStart); // To be decoded again, as the sender is owed a reply.
            throw e;
        }
    }

    private void decodeFrame(ByteBuf in, List<Object> out) {
        if (bytesToDiscard > 0) {
            int discarded = (int) Math.min(bytesToDiscard, in.readableBytes());
            in.skipBytes(discarded);
            bytesToDiscard -= discarded;
        } else if (data != null) {
            decodeData(in, out);
        } else {
            decodeLine(in, out);
        }
    }

    private void decodeLine(ByteBuf in, List<Object> out) {
        int length = in.bytesBefore((byte) '\n');
        if (isDiscardingLine || length > MAX_LINE_BYTES || length < 0 && in.readableBytes() > MAX_LINE_BYTES) {
            if (!isDiscardingLine) {
                out.add(MetaFrame.protocolError("CLIENT_ERROR line too long"));
            }
            isDiscardingLine = length < 0;
            in.skipBytes(length < 0 ? in.readableBytes() : length + 1);
            return;
        }
        if (length < 0) {
            return;
        }
        String line = in.readCharSequence(length, StandardCharsets.ISO_8859_1).toString();
        in.skipBytes(1);
        if (!line.endsWith("\r")) {
            out.add(MetaFrame.protocolError("CLIENT_ERROR lines end in CRLF"));
        } else {
            parseLine(line.substring(0, length - 1), out);
        }
    }

    private void parseLine(String line, List<Object> out) {
        if (line.chars().anyMatch(c -> c < ' ' || c == 0x7f)) {
            out.add(MetaFrame.protocolError("CLIENT_ERROR control character in line"));
            return;
        }
        List<String> tokens = new ArrayList<>();
        for (String token : line.split(" ")) {
            if (!token.isEmpty()) {
                tokens.add(token);
            }
        }
        if (tokens.isEmpty()) {
            out.add(MetaFrame.protocolError("ERROR"));
        } else if (!tokens.get(0).equals(dataKeyword)) {
            out.add(new MetaFrame(tokens, null, null));
        } else {
            beginData(tokens, out);
        }
    }

    private void beginData(List<String> tokens, List<Object> out) {
        String lengthToken = tokens.size() > lengthIndex ? tokens.get(lengthIndex) : "";
        if (lengthToken.isEmpty() || lengthToken.length() > MAX_LENGTH_DIGITS
                || !lengthToken.chars().allMatch(c -> c >= '0' && c <= '9')) {
            out.add(MetaFrame.protocolError(BAD_DATA_CHUNK));
            return;
        }
        int length = Integer.parseInt(lengthToken);
        if (length > MetaFrame.MAX_VALUE_BYTES) {
            bytesToDiscard = (long) length + CRLF_BYTES;
            out.add(MetaFrame.protocolError("CLIENT_ERROR value too large"));
            return;
        }
        dataLineTokens = tokens;
        data = EMPTY_DATA;
        dataLength = length;
        dataBytesRead = 0;
    }

    private void decodeData(ByteBuf in, List<Object> out) {
        int count = Math.min(dataLength - dataBytesRead, in.readableBytes());
        if (!ensureDataCapacity(dataBytesRead + count)) {
            in.skipBytes(count);
            dropData(dataBytesRead + count, out);
            return;
        }
        in.readBytes(data, dataBytesRead, count);
        dataBytesRead += count;
        if (dataBytesRead < dataLength || in.readableBytes() < CRLF_BYTES) {
            return;
        }
        byte[] completeData = data;
        releaseData();
        if (in.getByte(in.readerIndex()) == '\r' && in.getByte(in.readerIndex() + 1) == '\n') {
            in.skipBytes(CRLF_BYTES);
            out.add(new MetaFrame(dataLineTokens, completeData, null));
        } else {
            out.add(MetaFrame.protocolError(BAD_DATA_CHUNK));
            isDiscardingLine = true;
        }
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
        if (!memoryBudget.tryReserve(capacity - data.length)) {
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

    /** Discards a data block for which there is no memory; the rest of it, behind {@code bytesRead}, as it arrives. */
    private void dropData(int bytesRead, List<Object> out) {
        bytesToDiscard = (long) dataLength - bytesRead + CRLF_BYTES;
        releaseData();
        out.add(MetaFrame.valueDropped(dataLineTokens));
    }

    private void releaseData() {
        if (data != null) {
            memoryBudget.release(data.length);
            data = null;
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        releaseData();
    }
}
