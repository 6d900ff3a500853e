package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against wrong choices of what to give up when there is no memory, and against leaks in its account. */
class ReplyQueueTest {
    private static final int VALUE_BYTES = 20_000;
    private static final byte[] VALUE = "v".repeat(VALUE_BYTES).getBytes(StandardCharsets.ISO_8859_1);
    private final MemoryBudget budget = new MemoryBudget(100_000);
    private final ReplyMemory memory = new ReplyMemory(budget);

    /** A queue on a channel of its own. */
    private final class Client {
        final EmbeddedChannel channel = new EmbeddedChannel();
        final ReplyQueue queue = new ReplyQueue(channel, memory, new Counters(), () -> { });

        PendingReply addRead() {
            return queue.add(new MetaFrame("mg 1", null, null), 0);
        }

        void completeRead(PendingReply pending) {
            pending.reply("VA 20000 O1\r\n", VALUE);
        }

        String written() {
            StringBuilder text = new StringBuilder();
            int lengthBefore;
            do {
                lengthBefore = text.length();
                queue.write();
                for (ByteBuf piece = channel.readOutbound(); piece != null; piece = channel.readOutbound()) {
                    text.append(piece.toString(StandardCharsets.ISO_8859_1));
                    piece.release();
                }
            } while (text.length() > lengthBefore);
            return text.toString();
        }
    }

    @Test
    void theLastWaitingValueOfTheLargestHolderIsGivenUp() {
        Client small = new Client();
        Client large = new Client();
        PendingReply smallHead = small.addRead();
        small.completeRead(small.addRead());
        PendingReply largeHead = large.addRead();
        large.completeRead(large.addRead());
        large.completeRead(large.addRead());
        assertTrue(budget.tryReserve(50_000), "after one value was given up");
        large.completeRead(largeHead);
        small.completeRead(smallHead);
        String value = "VA 20000 O1\r\n" + "v".repeat(VALUE_BYTES) + "\r\n";
        assertEquals(value + value, small.written());
        assertEquals(value + value + "SERVER_ERROR failed\r\n", large.written());
        assertEquals(50_000, budget.usedBytes());
    }

    /**
     * Case 9: an entry of thousands of rejections was taken for a value and given up, so that as many commands had no
     * reply and later replies came in their place.
     */
    @Test
    void rejectionsAreNotGivenUp() {
        Client client = new Client();
        int rejections = 9_569;
        PendingReply head = client.addRead();
        for (int i = 0; i < rejections; i++) {
            client.queue.reject();
        }
        client.completeRead(client.addRead());
        assertTrue(budget.tryReserve(90_000), "after the value was given up");
        assertFalse(budget.tryReserve(90_000), "nothing else may be given up");
        client.completeRead(head);
        String expected = "VA 20000 O1\r\n" + "v".repeat(VALUE_BYTES) + "\r\n"
                + "SERVER_ERROR busy\r\n".repeat(rejections) + "SERVER_ERROR failed\r\n";
        assertTrue(expected.equals(client.written()), "one reply for each command, in their order");
    }

    /** Case 6: each rejection took up the memory of its bytes, in an array that grew by copying. */
    @Test
    void memoryOfRejectionsDoesNotGrowWithTheirNumber() {
        Client client = new Client();
        PendingReply head = client.addRead();
        client.queue.reject();
        long usedBytes = budget.usedBytes();
        for (int i = 0; i < 1_000_000; i++) {
            client.queue.reject();
        }
        assertEquals(usedBytes, budget.usedBytes());
        assertEquals(2, client.queue.size());
        head.reply("MN\r\n", null);
        assertEquals("MN\r\n".length() + 1_000_001L * "SERVER_ERROR busy\r\n".length(), client.written().length());
        assertEquals(0, budget.usedBytes());
    }

    /** A reply that can be written is not given up: giving up values must not fail what is being served. */
    @Test
    void theReplyAtTheHeadIsKept() {
        Client client = new Client();
        client.completeRead(client.addRead());
        assertFalse(budget.tryReserve(90_000));
        assertTrue(client.written().startsWith("VA 20000 "));
    }

    /** A connection counted as stalled at the first check if nothing of its first reply had been written until then. */
    @Test
    void aWriteIsNotStalledBeforeItsTimeHasPassed() {
        long startedAt = Clock.now();
        Client client = new Client();
        client.channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                ReferenceCountUtil.release(message); // The promise is never completed.
            }
        });
        client.completeRead(client.addRead());
        client.queue.write();
        assertTrue(client.queue.isBeingWritten());
        assertTrue(client.queue.lastProgressAt(Clock.now()) >= startedAt);
    }

    @Test
    void aLongReplyIsWrittenInPiecesAndRejectionsShareAnEntry() {
        Client client = new Client();
        PendingReply read = client.addRead();
        client.queue.reject();
        client.queue.reject();
        assertEquals(2, client.queue.size());
        assertEquals("", client.written(), "the first command is in progress");
        client.completeRead(read);
        assertEquals("VA 20000 O1\r\n" + "v".repeat(VALUE_BYTES) + "\r\nSERVER_ERROR busy\r\nSERVER_ERROR busy\r\n",
                client.written());
        assertTrue(client.queue.isEmpty());
        assertEquals(0, budget.usedBytes());
    }
}
