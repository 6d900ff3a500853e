package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Guards against a warm-up that no longer works: if its commands fail, the code that they should get compiled stays
 * cold, and the start is slow without any other sign.
 */
class WarmUpTest {
    @Test
    void warmUpGetsTheExpectedReplyToEveryCommand() throws Exception {
        assertEquals(0, WarmUp.execute());
    }
}
