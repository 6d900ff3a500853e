package eiderscale;

import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.ListMode;
import eiderscale.Api.Reason;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates many instances on one clock, each with a small, uneven and bursty part of the traffic, and a host that
 * starts cold. What all instances together send to it must stay within its budget, up to random variation.
 */
class FleetSlowStartTest {
    /** One millisecond in nanoseconds. */
    private static final long MS = 1_000_000L;
    private static final long SLOW_START_NS = 8_000 * MS;
    private static final long OVERLOAD_WINDOW_NS = 1_500 * MS;
    private static final double INITIAL_CAPACITY_FRACTION = 0.31;
    private static final double OVERLOAD_MULTIPLE = 3;
    private static final long COLD_HOST_ID = 1;
    /** Seeds simulated per case; the recorded figures were measured with 200. */
    private static final int SEED_COUNT = Integer.getInteger("fleet.seeds", 10);

    /** A simulated fleet: hosts of equal size, one of which starts cold at 12 s. Times are in nanoseconds. */
    private static final class Fleet {
        private static final long END_AT = 22_000 * MS;
        private static final long COLD_START_AT = 12_000 * MS;
        private static final double MEAN_SERVICE_TIME_MS = 120;
        private static final int CORES_PER_HOST = 4;
        private static final int KEY_COUNT = 2_000;

        private record Event(long dueAt, long sequence, Runnable action) {
        }

        private final SplittableRandom random;
        private final PriorityQueue<Event> events = new PriorityQueue<>(
                Comparator.comparingLong(Event::dueAt).thenComparingLong(Event::sequence));
        private final List<Router> routers = new ArrayList<>();
        /** Fraction of the traffic that each instance gets. */
        private final double[] trafficShares;
        private final int hostCount;
        private final double utilization;
        /** When the requests of the last overload window were sent to the cold host. */
        private final Deque<Long> recentColdSends = new ArrayDeque<>();
        private long now;
        private long nextSequence;
        private long requestCount;
        /**
         * Most requests sent to the cold host within an overload window, divided by the budget plus an allowance for
         * random variation: two standard deviations and 2.
         */
        double maxBudgetRatio;
        /** Requests sent to the cold host during its slow start. */
        int coldSends;

        Fleet(long seed, int instanceCount, int hostCount, double utilization) {
            this.random = new SplittableRandom(seed);
            this.hostCount = hostCount;
            this.utilization = utilization;
            trafficShares = new double[instanceCount];
            double sum = 0;
            for (int i = 0; i < instanceCount; i++) {
                trafficShares[i] = 0.3 + random.nextDouble() * random.nextDouble() * 4;
                sum += trafficShares[i];
            }
            for (int i = 0; i < instanceCount; i++) {
                trafficShares[i] /= sum;
                routers.add(createRouter(i, instanceCount, random.nextLong()));
            }
        }

        private Router createRouter(int rank, int instanceCount, long seed) {
            Api.RequestClass read = new Api.RequestClass(750 * MS, 0, 1_500 * MS, 2, 0.25, Api.Effect.IDEMPOTENT,
                    Api.Group.ALL, 0, false, false);
            Api.Settings settings = new Api.Settings(List.of(read), List.of(), 0, rank, instanceCount, false, -1, false,
                    5, true, true, true, 2_000 * MS, 500 * MS, 10_000 * MS, INITIAL_CAPACITY_FRACTION, SLOW_START_NS,
                    OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_NS, 1, 0, null,
                    new Api.LoadReportLayout(-1, -1, -1));
            Router[] self = new Router[1];
            self[0] = new Router(settings, seed, new Api.Actions() {
                private final Map<Long, Integer> attemptCounts = new HashMap<>();

                @Override
                public void send(long requestId, long serverId, long attemptDeadline) {
                    int attemptIndex = attemptCounts.merge(requestId, 1, Integer::sum) - 1;
                    long elapsedNs = (long) (-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_TIME_MS * MS) + 2 * MS;
                    boolean hasFailed = random.nextInt(50) == 0;
                    if (serverId == COLD_HOST_ID && now < COLD_START_AT + SLOW_START_NS) {
                        recordColdSend();
                    }
                    schedule(now + Math.min(elapsedNs, attemptDeadline - now),
                            () -> self[0].onAttemptOutcome(now, new Api.AttemptOutcome(requestId, attemptIndex,
                                    elapsedNs > attemptDeadline - now ? Reason.TIMEOUT
                                            : hasFailed ? Reason.ERROR : Reason.OK, elapsedNs,
                                    !hasFailed && elapsedNs <= attemptDeadline - now, new float[0])));
                }

                @Override
                public void cancel(long requestId, int attemptIndex) {
                    schedule(now, () -> self[0].onAttemptOutcome(now,
                            new Api.AttemptOutcome(requestId, attemptIndex, Reason.CANCELLED, 0, true, new float[0])));
                }

                @Override
                public void scheduleTimer(long dueAt, int token) {
                    schedule(dueAt, () -> self[0].onTimer(now, token));
                }

                @Override
                public void refuse(long requestId, long retryAfterNs) {
                }

                @Override
                public void fail(long requestId) {
                }

                @Override
                public void closeIdleConnections(long serverId) {
                }

                @Override
                public void subscribe() {
                }
            });
            return self[0];
        }

        /** Runs an action at the given instant, or now if that is past. */
        private void schedule(long dueAt, Runnable action) {
            events.add(new Event(Math.max(now, dueAt), nextSequence++, action));
        }

        /** Counts a request sent to the cold host and compares the last overload window with the budget. */
        private void recordColdSend() {
            coldSends++;
            recentColdSends.add(now);
            while (recentColdSends.peek() <= now - OVERLOAD_WINDOW_NS) {
                recentColdSends.poll();
            }
            double elapsedFraction = Math.min(1, (double) (now - COLD_START_AT) / SLOW_START_NS);
            double requestsPerSecond = CORES_PER_HOST * 1_000 / MEAN_SERVICE_TIME_MS
                    * (INITIAL_CAPACITY_FRACTION + (1 - INITIAL_CAPACITY_FRACTION) * elapsedFraction);
            double budget = OVERLOAD_MULTIPLE * requestsPerSecond * OVERLOAD_WINDOW_NS / 1e9;
            maxBudgetRatio = Math.max(maxBudgetRatio, recentColdSends.size() / (budget + 2 * Math.sqrt(budget) + 2));
        }

        private static Api.Server host(long id, long startedAt) {
            return new Api.Server(id, 0, 0, 0, Api.State.READY, 1, startedAt);
        }

        /**
         * Runs the simulation.
         *
         * @param hotFraction fraction of the traffic for one hot key, from 0.5 s after the cold start on
         */
        Fleet simulate(double hotFraction) {
            List<Api.Server> list = new ArrayList<>();
            for (int id = 2; id <= hostCount; id++) {
                list.add(host(id, 0));
            }
            for (Router router : routers) {
                router.onServerList(0, ListMode.FULL, list);
                schedule(COLD_START_AT + 20 * MS + random.nextLong(2_000 * MS),
                        () -> router.onServerList(now, ListMode.DELTA, List.of(host(COLD_HOST_ID, COLD_START_AT))));
            }
            double requestsPerNs = utilization * hostCount * CORES_PER_HOST / (MEAN_SERVICE_TIME_MS * MS);
            schedule(0, () -> deliverRequest(requestsPerNs, hotFraction));
            while (!events.isEmpty() && now < END_AT) {
                Event event = events.poll();
                now = event.dueAt;
                event.action.run();
            }
            return this;
        }

        /** Delivers a request to a random instance and schedules the next one. */
        private void deliverRequest(double requestsPerNs, double hotFraction) {
            double draw = random.nextDouble();
            int instance = 0;
            while (instance < trafficShares.length - 1 && draw >= trafficShares[instance]) {
                draw -= trafficShares[instance++];
            }
            long key = now > COLD_START_AT + 500 * MS && random.nextDouble() < hotFraction ? COLD_HOST_KEY
                    : Candidates.mix64((long) (KEY_COUNT * Math.pow(random.nextDouble(), 3)) + 77);
            routers.get(instance).onRequest(now,
                    new Api.Request(++requestCount, 0, 0, key, now + 1_500 * MS, 0, false, false));
            // Bursts at 1.5 times the mean rate during one second in three; the other two are below it.
            double rate = requestsPerNs * (now / (1_000 * MS) % 3 == 0 ? 1.5 : 0.75);
            schedule(now + (long) (-Math.log(1 - random.nextDouble()) / rate),
                    () -> deliverRequest(requestsPerNs, hotFraction));
        }
    }

    /** The hot key: its hash makes the cold host one of its first candidates, eligible from the start. */
    private static final long COLD_HOST_KEY = findColdHostKey();

    private static long findColdHostKey() {
        long salt = Candidates.mix64(COLD_HOST_ID + 0x9e3779b97f4a7c15L);
        for (long key = 1; ; key++) {
            long hash = Candidates.mix64(key ^ salt);
            if ((hash & 2047) < 200 && (hash >>> 11) * 0x1.0p-53 < 0.001) {
                return key;
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"5,12,0.0", "20,12,0.0", "30,16,0.0", "100,60,0.0", "5,12,0.2", "20,12,0.2", "30,16,0.2", "100,60,0.2"})
    void allInstancesTogetherStayWithinTheColdHostsBudget(int instanceCount, int hostCount, double hotFraction) {
        double maxBudgetRatio = 0;
        int coldSends = 0;
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            Fleet fleet = new Fleet(seed, instanceCount, hostCount, 0.6).simulate(hotFraction);
            maxBudgetRatio = Math.max(maxBudgetRatio, fleet.maxBudgetRatio);
            coldSends += fleet.coldSends;
        }
        System.out.printf("%d instances, %d hosts, hot key %.1f: at most %.2f of the budget; %d sent while cold%n",
                instanceCount, hostCount, hotFraction, maxBudgetRatio, coldSends / SEED_COUNT);
        assertTrue(coldSends / SEED_COUNT > 50, "the cold host gets too few requests");
        assertTrue(maxBudgetRatio <= 1,
                "sent " + maxBudgetRatio + " times the budget and its allowance for random variation");
    }
}
