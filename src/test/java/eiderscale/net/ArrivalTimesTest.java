package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against commands that count as received later than they were. */
class ArrivalTimesTest {
    private static final long SECOND = Clock.SECOND;

    @Test
    void eachByteHasTheTimeOfTheReadThatDeliveredIt() {
        ArrivalTimes arrivals = new ArrivalTimes();
        arrivals.onReceived(10, SECOND);
        arrivals.onReceived(10, 2 * SECOND);
        arrivals.onReceived(10, 3 * SECOND);
        assertEquals(SECOND, arrivals.receivedAt(20));
        assertEquals(2 * SECOND, arrivals.receivedAt(19));
        assertEquals(2 * SECOND, arrivals.receivedAt(10));
        assertEquals(3 * SECOND, arrivals.receivedAt(0));
        arrivals.onReceived(5, 4 * SECOND);
        assertEquals(4 * SECOND, arrivals.receivedAt(0), "after all was taken out");
    }

    /** Input that arrives byte by byte must not take up memory for its times. */
    @Test
    void timesOfManyReadsAreRoundedDownAndNeverUp() {
        ArrivalTimes arrivals = new ArrivalTimes();
        int reads = 100_000;
        for (int i = 0; i < reads; i++) {
            arrivals.onReceived(1, i * 2L * Clock.MILLISECOND);
        }
        long previous = 0;
        for (int i = 0; i < reads; i++) {
            long receivedAt = arrivals.receivedAt(reads - 1 - i);
            assertTrue(receivedAt <= i * 2L * Clock.MILLISECOND && receivedAt >= previous, "read " + i);
            previous = receivedAt;
        }
    }
}
