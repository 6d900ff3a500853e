package eiderscale;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Start times that discovery tells may be read off a wall clock that was stepped; slow start lasts in real time. */
class SteppedClockTest {
    private static final long RESTARTED = 4;
    private static final long SECOND_MS = 1_000;
    private static final int READS_A_SECOND = 100;
    private final Bed bed = new Bed(new Bed.SettingsBuilder());
    private long requests;

    private double shareOfRestarted(int seconds) {
        int sent = 0;
        int reads = seconds * READS_A_SECOND;
        for (int i = 0; i < reads; i++) {
            long id = ++requests;
            sent += bed.request(id, Bed.READ, Candidates.mix64(id)).server() == RESTARTED ? 1 : 0;
            bed.pass(SECOND_MS / READS_A_SECOND);
            bed.outcome(id, 0, Api.Reason.OK);
            if (i % READS_A_SECOND == 0) {
                bed.delta();
            }
        }
        return (double) sent / reads;
    }

    private static Api.Server startedAt(long moment) {
        return Bed.server(RESTARTED, Api.State.READY, moment);
    }

    private void beginWithFourWarmHosts() {
        bed.list(List.of(Bed.server(1), Bed.server(2), Bed.server(3), startedAt(bed.now - 60 * SECOND_MS * Bed.MS)));
        shareOfRestarted(3);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 3_600_000, -3_600_000, -5_000, 5_000})
    void aRestartIsSlowStartedForItsRealTimeWhateverTheWallClockSays(long stepMs) {
        beginWithFourWarmHosts();
        bed.delta(startedAt(bed.now + stepMs * Bed.MS));
        double early = shareOfRestarted(2);
        assertTrue(early < 0.12, "share while cold: " + early);
        shareOfRestarted(9);
        double late = shareOfRestarted(4);
        assertTrue(late > 0.15, "share when warm again: " + late);
    }

    @Test
    void aNewHostIsSlowStartedThoughItsStartLooksLongPast() {
        bed.list(List.of(Bed.server(1), Bed.server(2), Bed.server(3)));
        shareOfRestarted(3);
        bed.delta(startedAt(bed.now - 3_600_000 * Bed.MS));
        double early = shareOfRestarted(2);
        assertTrue(early < 0.12, "share while cold: " + early);
    }

    @Test
    void aHostThatComesBackWithItsOldStartIsNotSlowStartedAgain() {
        long start = bed.now - 60 * SECOND_MS * Bed.MS;
        beginWithFourWarmHosts();
        bed.delta(Bed.server(RESTARTED, Api.State.GONE, start));
        shareOfRestarted(1);
        bed.delta(startedAt(start));
        double early = shareOfRestarted(2);
        assertTrue(early > 0.15, "share of a warm host: " + early);
    }

    /** The first list of a process tells of starts from before it knew of the host. */
    @Test
    void aFirstListIsTakenAtItsWord() {
        bed.list(List.of(Bed.server(1), Bed.server(2), Bed.server(3),
                startedAt(bed.now - 60 * SECOND_MS * Bed.MS)));
        double early = shareOfRestarted(2);
        assertTrue(early > 0.15, "share of a warm host: " + early);
    }
}
