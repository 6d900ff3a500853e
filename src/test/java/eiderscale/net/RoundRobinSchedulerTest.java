package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against one connection that keeps all others from being served, by its input or by its failures. */
class RoundRobinSchedulerTest {
    private final EventLoop loop = new DefaultEventLoop();
    private final RoundRobinScheduler scheduler = new RoundRobinScheduler(loop);

    @AfterEach
    void shutDown() {
        loop.shutdownGracefully();
    }

    /** A task that always wants another turn until it has had {@code turns}. */
    private final class BusyTask extends RoundRobinScheduler.Task {
        final AtomicInteger remainingTurns;
        final AtomicLong endedAt = new AtomicLong();

        BusyTask(int turns) {
            remainingTurns = new AtomicInteger(turns);
        }

        @Override
        int runTurn() {
            if (remainingTurns.decrementAndGet() > 0) {
                scheduler.submit(this);
            } else {
                endedAt.set(System.nanoTime());
            }
            return RoundRobinScheduler.TURN_COST;
        }
    }

    /** A client that sent at full speed had its input processed 64 times in a row before the next read of another. */
    @Test
    void otherEventsAreServedBetweenTheTurnsOfABusyTask() throws Exception {
        BusyTask busy = new BusyTask(10_000);
        List<Integer> turnsLeft = new ArrayList<>();
        loop.submit(() -> {
            scheduler.submit(busy);
            for (int i = 1; i <= 5; i++) {
                // Timers of the event loop run in the order of their times, as do its selector's events.
                loop.schedule(() -> turnsLeft.add(busy.remainingTurns.get()), 1,
                        TimeUnit.NANOSECONDS);
            }
        }).get();
        Await.until(() -> busy.endedAt.get() != 0, "the end of the busy task");
        assertEquals(5, loop.submit(() -> turnsLeft.size()).get());
        assertTrue(turnsLeft.get(0) >= 10_000 - 8, "turns before another event: " + (10_000 - turnsLeft.get(0)));
    }

    @Test
    void tasksTakeTurns() throws Exception {
        BusyTask many = new BusyTask(10_000);
        BusyTask few = new BusyTask(3);
        loop.submit(() -> {
            scheduler.submit(many);
            scheduler.submit(few);
        }).get();
        Await.until(() -> few.endedAt.get() != 0 && many.endedAt.get() != 0, "the end of both tasks");
        assertTrue(few.endedAt.get() < many.endedAt.get());
    }

    /** A connection without memory for its next command was tried again and again, and others waited. */
    @Test
    void taskThatFailsIsTriedAgainBehindOthers() throws Exception {
        AtomicInteger failures = new AtomicInteger();
        BusyTask other = new BusyTask(50);
        RoundRobinScheduler.Task failing = new RoundRobinScheduler.Task() {
            @Override
            int runTurn() {
                if (failures.incrementAndGet() < 3) {
                    throw new OutOfMemoryError("for a test");
                }
                return 1;
            }
        };
        loop.submit(() -> {
            scheduler.submit(failing);
            scheduler.submit(other);
        }).get();
        Await.until(() -> failures.get() == 3 && other.endedAt.get() != 0, "both tasks have ended");
    }
}
