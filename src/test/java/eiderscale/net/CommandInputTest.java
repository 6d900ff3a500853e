package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against memory that peers can take up with little input, and against leaks in its account. */
class CommandInputTest {
    private final MemoryBudget budget = new MemoryBudget(100_000);
    private final CommandInput input = new CommandInput(budget);

    private static ByteBuf directBuffer(String text) {
        ByteBuf buffer = Unpooled.directBuffer(64 * 1024);
        buffer.writeCharSequence(text, StandardCharsets.ISO_8859_1);
        return buffer;
    }

    private void append(String text) {
        assertTrue(input.append(directBuffer(text), Clock.now()));
    }

    private void assertNext(int tokenIndex, String token) {
        MetaFrame frame = input.next();
        assertNotNull(frame);
        assertTrue(frame.tokenIs(tokenIndex, token), frame.toString());
    }

    /** A few bytes of an incomplete command kept a read buffer of up to 64 KiB of direct memory. */
    @Test
    void incompleteCommandDoesNotKeepItsReadBuffer() {
        for (String text : new String[] {"mn\r\nm", "n\r\nmg 1", "\r\n"}) {
            ByteBuf buffer = directBuffer(text);
            input.append(buffer, 0);
            assertEquals(0, buffer.refCnt());
        }
        assertNext(0, "mn");
        assertNext(0, "mn");
        assertNext(0, "mg");
    }

    @Test
    void bufferedInputIsOnTheHeapAndDecodedInOrder() {
        for (int i = 0; i < 100; i++) {
            append("mg " + i + "\r\n");
        }
        assertTrue(input.memoryBytes() >= 690 && input.memoryBytes() <= 2 * 1024, "" + input.memoryBytes());
        for (int i = 0; i < 100; i++) {
            assertNext(1, Integer.toString(i));
        }
        assertNull(input.next());
    }

    /** A large buffer with little left in it counted as full, so that all later commands were rejected. */
    @Test
    void bufferShrinksWhenItsInputWasDecoded() {
        for (int i = 0; i < 10; i++) {
            append("mn\r\n".repeat(15_000));
        }
        append("mg");
        for (int i = 0; i < 150_000; i++) {
            assertNext(0, "mn");
        }
        input.shrink();
        assertTrue(input.memoryBytes() <= 256, "" + input.memoryBytes());
        assertTrue(input.hasIncompleteFrame());
    }

    /** A client that sends byte by byte must take up little more than its bytes, and cost little for each. */
    @Test
    void inputThatArrivesByteByByteTakesUpLittleMoreThanItsBytes() {
        int bytes = 300_000;
        ByteBuf single = directBuffer("x");
        for (int i = 0; i < bytes; i++) {
            input.append(single.retainedDuplicate(), i * 2L * Clock.MILLISECOND);
        }
        assertTrue(input.memoryBytes() <= bytes + 70 * 1024, "" + input.memoryBytes());
        assertEquals("CLIENT_ERROR line too long", input.next().protocolError());
        assertNull(input.next());
        input.shrink();
        assertTrue(input.memoryBytes() <= 5 * 1024, "" + input.memoryBytes());
    }

    /** Announcing a long value, which costs a peer nothing, allocated its whole memory. */
    @Test
    void memoryOfAValueGrowsAsItArrives() {
        append("ms 1 60000 O1\r\nabc");
        assertNull(input.next());
        assertTrue(budget.usedBytes() < 100, "bytes reserved " + budget.usedBytes());
        append("v".repeat(59_997) + "\r\n");
        assertEquals(60_000, input.next().data().length);
        assertEquals(0, budget.usedBytes());
    }

    /** The line before a value was held as a list of its fields, thirty times as large and in no account. */
    @Test
    void lineOfManyFieldsBeforeAValueCountsAsWhatItTakesUp() {
        String line = "ms 1 60000" + " v".repeat(1_000);
        append(line + "\r\nabc");
        assertNull(input.next());
        assertTrue(budget.usedBytes() >= line.length() && budget.usedBytes() < line.length() + 100,
                "bytes reserved " + budget.usedBytes());
    }

    @Test
    void valueWithoutMemoryIsDroppedAndDecodingGoesOnBehindIt() {
        budget.add(50_000);
        append("ms 1 60000 O1\r\nabc");
        assertNull(input.next());
        append("v".repeat(59_990));
        MetaFrame dropped = input.next();
        assertTrue(dropped.isValueDropped() && dropped.tokenIs(0, "ms"), dropped.toString());
        assertNull(input.next());
        append("v".repeat(7) + "\r\nmn\r\n");
        assertNext(0, "mn");
        assertEquals(50_000, budget.usedBytes());
    }

    /** Half-received values used up the memory to the last byte, and small requests of others were refused. */
    @Test
    void halfReceivedValuesLeaveRoomForSmallRequests() {
        for (int i = 0; i < 100; i++) {
            CommandInput other = new CommandInput(budget);
            other.append(directBuffer("ms 1 60000 O1\r\n" + "v".repeat(1_500)), 0);
            other.next();
        }
        assertTrue(budget.usedBytes() > 90_000, "" + budget.usedBytes());
        assertTrue(budget.tryReserve(5_000));
    }

    @Test
    void valueOfACommandThatIsRejectedIsNotHeld() {
        append("ms 1 60000 O1\r\nabc");
        MetaFrame rejected = input.nextWithoutData();
        assertTrue(rejected.isValueDropped() && rejected.isRequest(), rejected.toString());
        assertFalse(input.hasIncompleteFrame(), "its reply is due already");
        append("v".repeat(59_997) + "\r\nms 2 5 O1\r\nhel");
        assertNull(input.next());
        append("lo\r\n");
        assertNext(1, "2");
    }

    @Test
    void closedConnectionReleasesTheValueThatWasBeingRead() {
        append("ms 1 60000 O1\r\nabc");
        assertNull(input.next());
        input.discardAll();
        assertEquals(0, budget.usedBytes());
    }

    /** A response whose value finds no memory after its line was read must neither fail nor be taken for another. */
    @Test
    void valueOfAResponseWithoutMemoryIsDropped() {
        EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder(budget));
        channel.writeInbound(directBuffer("VA 60000 O1\r\n"));
        budget.add(90_000);
        channel.writeInbound(directBuffer("v".repeat(60_000) + "\r\nVA 1 O2\r\nx\r\n"));
        MetaFrame dropped = channel.readInbound();
        assertTrue(dropped.isValueDropped(), dropped.toString());
        MetaFrame next = channel.readInbound();
        assertTrue(next.tokenIs(2, "O2"), next.toString());
        assertEquals(90_000, budget.usedBytes());
        channel.close();
    }
}
