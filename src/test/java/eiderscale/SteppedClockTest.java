package eiderscale;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Slow start lasts for the set time on the balancer's clock, even if a host's start time, as discovery reports it, was
 * read off a wall clock that has been stepped.
 */
class SteppedClockTest {
    private static final long RESTARTED_HOST_ID = 4;
    private static final long MS_PER_SECOND = 1_000;
    private static final int READS_PER_SECOND = 100;
    private final RouterHarness harness = new RouterHarness(new RouterHarness.SettingsBuilder());
    private long requestCount;

    /**
     * Plays reads for so many seconds, with an empty delta of the server list each second; returns the share of them
     * that host {@link #RESTARTED_HOST_ID} got. Of four warm hosts each gets about 0.25.
     */
    private double shareOfRestartedHost(int seconds) {
        int sent = 0;
        int reads = seconds * READS_PER_SECOND;
        for (int i = 0; i < reads; i++) {
            long id = ++requestCount;
            sent += harness.submitRequest(id, RouterHarness.READ, Candidates.mix64(id)).serverId()
                    == RESTARTED_HOST_ID ? 1 : 0;
            harness.advanceMs(MS_PER_SECOND / READS_PER_SECOND);
            harness.endAttempt(id, 0, Api.Reason.OK);
            if (i % READS_PER_SECOND == 0) {
                harness.applyDelta();
            }
        }
        return (double) sent / reads;
    }

    /** The host under test, ready, with the given start time in its server list entry. */
    private static Api.Server restartedHost(long startedAt) {
        return RouterHarness.server(RESTARTED_HOST_ID, Api.State.READY, startedAt);
    }

    private void startWithFourWarmHosts() {
        harness.applyFullList(List.of(RouterHarness.server(1), RouterHarness.server(2), RouterHarness.server(3),
                restartedHost(harness.now - 60 * MS_PER_SECOND * RouterHarness.MS)));
        shareOfRestartedHost(3);
    }

    /** The reported start is the actual one, or off by a step of the wall clock. */
    @ParameterizedTest
    @ValueSource(longs = {0, 3_600_000, -3_600_000, -5_000, 5_000})
    void restartedHostIsSlowStartedInRealTimeDespiteWallClockSteps(long stepMs) {
        startWithFourWarmHosts();
        harness.applyDelta(restartedHost(harness.now + stepMs * RouterHarness.MS));
        double coldShare = shareOfRestartedHost(2);
        assertTrue(coldShare < 0.12, "share of a cold host: " + coldShare);
        shareOfRestartedHost(9);
        double warmShare = shareOfRestartedHost(4);
        assertTrue(warmShare > 0.15, "share after the slow start: " + warmShare);
    }

    /** A host that joins the list is new, although its reported start is an hour ago. */
    @Test
    void newHostIsSlowStartedEvenIfItsReportedStartIsLongPast() {
        harness.applyFullList(List.of(RouterHarness.server(1), RouterHarness.server(2), RouterHarness.server(3)));
        shareOfRestartedHost(3);
        harness.applyDelta(restartedHost(harness.now - 3_600_000 * RouterHarness.MS));
        double coldShare = shareOfRestartedHost(2);
        assertTrue(coldShare < 0.12, "share of a cold host: " + coldShare);
    }

    /** A host that left the list and comes back without a restart is still warm. */
    @Test
    void returningHostWithAnUnchangedStartIsNotSlowStartedAgain() {
        long startedAt = harness.now - 60 * MS_PER_SECOND * RouterHarness.MS;
        startWithFourWarmHosts();
        harness.applyDelta(RouterHarness.server(RESTARTED_HOST_ID, Api.State.GONE, startedAt));
        shareOfRestartedHost(1);
        harness.applyDelta(restartedHost(startedAt));
        double share = shareOfRestartedHost(2);
        assertTrue(share > 0.15, "share of a warm host: " + share);
    }

    /** Starts reported by the first list happened before this process received any, so they may be long past. */
    @Test
    void startTimesOfTheFirstListAreTrusted() {
        harness.applyFullList(List.of(RouterHarness.server(1), RouterHarness.server(2), RouterHarness.server(3),
                restartedHost(harness.now - 60 * MS_PER_SECOND * RouterHarness.MS)));
        double share = shareOfRestartedHost(2);
        assertTrue(share > 0.15, "share of a warm host: " + share);
    }
}
