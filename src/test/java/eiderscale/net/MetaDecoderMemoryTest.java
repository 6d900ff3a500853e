package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against memory that peers can take up with little input, and against leaks in its account. */
class MetaDecoderMemoryTest {
    private final MemoryBudget budget = new MemoryBudget(100_000);
    private final MetaDecoder decoder = MetaDecoder.forCommands(budget, Clock::now, () -> { });
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    private static ByteBuf directBuffer(String text) {
        ByteBuf buffer = Unpooled.directBuffer(64 * 1024);
        buffer.writeCharSequence(text, StandardCharsets.ISO_8859_1);
        return buffer;
    }

    /** A few bytes of an incomplete command kept a read buffer of up to 64 KiB of direct memory. */
    @Test
    void incompleteCommandDoesNotKeepItsReadBuffer() {
        ByteBuf first = directBuffer("mn\r\nm");
        channel.writeInbound(first);
        assertEquals(0, first.refCnt());
        ByteBuf second = directBuffer("n\r\nmg 1");
        channel.writeInbound(second);
        assertEquals(0, second.refCnt());
        channel.writeInbound(directBuffer("\r\n"));
        for (String command : new String[] {"mn", "mn", "mg"}) {
            MetaFrame frame = channel.readInbound();
            assertTrue(frame.tokenIs(0, command), frame.toString());
        }
    }

    /** A paused connection kept its read buffers of direct memory too. */
    @Test
    void bufferedInputIsOnTheHeapAndDecodedInOrder() throws Exception {
        decoder.pause();
        for (int i = 0; i < 100; i++) {
            ByteBuf input = directBuffer("mg " + i + "\r\n");
            channel.writeInbound(input);
            assertEquals(0, input.refCnt());
        }
        assertNull(channel.readInbound());
        assertTrue(decoder.bufferedBytes() >= 690 && decoder.bufferedBytes() <= 2 * 1024, "" + decoder.bufferedBytes());
        decoder.resume(channel.pipeline().firstContext());
        for (int i = 0; i < 100; i++) {
            MetaFrame frame = channel.readInbound();
            assertTrue(frame.tokenIs(1, Integer.toString(i)), frame.toString());
        }
    }

    /** A large buffer with little left in it counted as full, so that all later commands were rejected. */
    @Test
    void bufferShrinksWhenItsInputWasDecoded() throws Exception {
        decoder.pause();
        for (int i = 0; i < 10; i++) {
            channel.writeInbound(directBuffer("mn\r\n".repeat(15_000)));
        }
        assertTrue(decoder.isBufferFull());
        channel.writeInbound(directBuffer("mg"));
        decoder.decodeForRejection(channel.pipeline().firstContext());
        assertTrue(decoder.bufferedBytes() <= 128, "" + decoder.bufferedBytes());
        assertEquals(150_000, channel.inboundMessages().size());
    }

    /** Announcing a long value, which costs a peer nothing, allocated its whole memory. */
    @Test
    void memoryOfAValueGrowsAsItArrives() {
        channel.writeInbound(directBuffer("ms 1 60000 O1\r\nabc"));
        assertTrue(budget.usedBytes() < 100, "bytes reserved " + budget.usedBytes());
        channel.writeInbound(directBuffer("v".repeat(59_997) + "\r\n"));
        MetaFrame frame = channel.readInbound();
        assertEquals(60_000, frame.data().length);
        assertEquals(0, budget.usedBytes());
    }

    @Test
    void valueWithoutMemoryIsDroppedAndDecodingGoesOnBehindIt() {
        budget.add(50_000);
        channel.writeInbound(directBuffer("ms 1 60000 O1\r\nabc"));
        channel.writeInbound(directBuffer("v".repeat(59_990)));
        channel.writeInbound(directBuffer("v".repeat(7) + "\r\nmn\r\n"));
        MetaFrame dropped = channel.readInbound();
        assertTrue(dropped.isValueDropped() && dropped.tokenIs(0, "ms"), dropped.toString());
        MetaFrame next = channel.readInbound();
        assertNotNull(next);
        assertTrue(next.tokenIs(0, "mn"), next.toString());
        assertEquals(50_000, budget.usedBytes());
    }

    @Test
    void closedConnectionReleasesTheValueThatWasBeingRead() {
        channel.writeInbound(directBuffer("ms 1 60000 O1\r\nabc"));
        channel.close();
        assertEquals(0, budget.usedBytes());
    }
}
