package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against memory that grows with ever new ids. */
class RecentWritesTest {
    @Test
    void onlyTheLatestIdsAreRemembered() {
        RecentWrites writes = new RecentWrites();
        for (int i = 0; i <= RecentWrites.MAX_IDS; i++) {
            assertFalse(writes.mayHaveRun("w" + i));
            writes.onClientLeft("w" + i);
        }
        assertFalse(writes.mayHaveRun("w0"), "the oldest is forgotten");
        assertTrue(writes.mayHaveRun("w1"));
    }
}
