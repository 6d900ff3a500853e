package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/** Decodes the responses of a cache host into {@link MetaFrame}s. What is left undecoded is held on the heap. */
final class ResponseDecoder extends ByteToMessageDecoder {
    /** Capacity of the smallest buffer for undecoded input. */
    private static final int MIN_UNDECODED_CAPACITY = 64;
    private static final Cumulator HEAP_CUMULATOR = (alloc, undecoded, input) -> appendOnHeap(undecoded, input);

    private final MetaParser parser;

    ResponseDecoder(MemoryBudget memoryBudget) {
        parser = MetaParser.forResponses(memoryBudget);
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

    /** Releases the read buffer, of which little may be left undecoded, before the read is complete. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        int length = actualReadableBytes();
        if (length > 0 && (!internalBuffer().hasArray() || isOversized(internalBuffer(), length))) {
            channelRead(ctx, Unpooled.EMPTY_BUFFER);
        }
        super.channelReadComplete(ctx);
    }

    /** Whether a response, valid or not, has begun to arrive and is not complete. */
    boolean isInsideFrame() {
        return parser.isInsideFrame() || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        MetaFrame frame = parser.next(in);
        if (frame != null) {
            out.add(frame);
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        parser.releaseData();
    }
}
