package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Continues the read loop until nothing is left to read, so that the end of a client's stream is detected together with
 * its last commands and not after them. A read that does not fill the buffer does not end the loop, as it does not mean
 * that the socket is empty; the loop is bounded by a number of bytes and a number of reads.
 */
@SuppressWarnings("deprecation") // RecvByteBufAllocator.newHandle() returns the deprecated type Handle.
final class DrainingRecvByteBufAllocator implements RecvByteBufAllocator {
    private static final long MAX_BYTES_PER_READ_LOOP = 1024 * 1024;
    private static final int MAX_READS_PER_READ_LOOP = 4_096;

    private static final int FALLBACK_BUFFER_BYTES = 512;
    /** Chooses the sizes of the buffers. */
    private final RecvByteBufAllocator bufferSizer = new AdaptiveRecvByteBufAllocator();
    private final IntSupplier maxBufferBytes;

    /**
     * Creates an allocator.
     *
     * @param maxBufferBytes asked for each buffer; returns its largest size
     */
    DrainingRecvByteBufAllocator(IntSupplier maxBufferBytes) {
        this.maxBufferBytes = maxBufferBytes;
    }

    @Override
    public Handle newHandle() {
        return new DrainingHandle(bufferSizer.newHandle(), maxBufferBytes);
    }

    /** Limits one read loop of a channel. */
    private static final class DrainingHandle extends DelegatingHandle {
        private final IntSupplier maxBufferBytes;
        private ChannelConfig config;
        private int readCount;
        private long totalBytesRead;

        DrainingHandle(Handle bufferSizer, IntSupplier maxBufferBytes) {
            super(bufferSizer);
            this.maxBufferBytes = maxBufferBytes;
        }

        @Override
        public void reset(ChannelConfig config) {
            super.reset(config);
            this.config = config;
            readCount = 0;
            totalBytesRead = 0;
        }

        /** Falls back to the heap: without a buffer Netty would close the connection, with replies owed on it. */
        @Override
        public ByteBuf allocate(ByteBufAllocator alloc) {
            try {
                return alloc.ioBuffer(Math.min(guess(), maxBufferBytes.getAsInt()));
            } catch (OutOfMemoryError e) {
                return Unpooled.buffer(FALLBACK_BUFFER_BYTES);
            }
        }

        @Override
        public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            readCount++;
            totalBytesRead += Math.max(0, bytes);
        }

        @Override
        public boolean continueReading() {
            return config.isAutoRead() && lastBytesRead() > 0
                    && readCount < MAX_READS_PER_READ_LOOP && totalBytesRead < MAX_BYTES_PER_READ_LOOP;
        }
    }
}
