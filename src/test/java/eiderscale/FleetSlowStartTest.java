package eiderscale;

import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.ListMode;
import eiderscale.Api.Reason;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many instances on one clock, each with a thin, uneven and bursty part of the traffic, before a host that has just
 * started: what all of them send it together stays within its budget and chance.
 */
class FleetSlowStartTest {
    private static final long MS = 1_000_000L;
    private static final long WARM = 8_000 * MS;
    private static final long FALL = 1_500 * MS;
    private static final double COLD = 0.31;
    private static final double MULTIPLE = 3;
    private static final long COLD_HOST = 1;
    /** Seeds of a run; the figures in the record are of 200. */
    private static final int SEEDS = Integer.getInteger("fleet.seeds", 10);

    /** One day in small: hosts of equal size, one of which starts cold at 12 s. */
    private static final class Fleet {
        private static final long END = 22_000 * MS;
        private static final long START = 12_000 * MS;
        private static final double MEAN_WORK_MS = 120;
        private static final int CORES = 4;
        private static final int KEYS = 2_000;

        private record Event(long at, long order, Runnable action) {
        }

        private final SplittableRandom random;
        private final PriorityQueue<Event> events = new PriorityQueue<>(
                java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
        private final List<Router> routers = new ArrayList<>();
        private final double[] shares;
        private final int hosts;
        private final double load;
        private final Deque<Long> window = new ArrayDeque<>();
        private long now;
        private long order;
        private long requests;
        /** The most that was sent in a window, as a part of its budget with what is put down to chance. */
        double worst;
        int sent;

        Fleet(long seed, int balancers, int hosts, double load) {
            this.random = new SplittableRandom(seed);
            this.hosts = hosts;
            this.load = load;
            shares = new double[balancers];
            double sum = 0;
            for (int i = 0; i < balancers; i++) {
                shares[i] = 0.3 + random.nextDouble() * random.nextDouble() * 4;
                sum += shares[i];
            }
            for (int i = 0; i < balancers; i++) {
                shares[i] /= sum;
                routers.add(router(i, balancers, random.nextLong()));
            }
        }

        private Router router(int rank, int balancers, long seed) {
            Api.RequestClass read = new Api.RequestClass(750 * MS, 0, 1_500 * MS, 2, 0.25, Api.Effect.IDEMPOTENT,
                    Api.Group.ALL, 0, false, false);
            Api.Settings settings = new Api.Settings(List.of(read), List.of(), 0, rank, balancers, false, -1, false, 5,
                    true, true, true, 2_000 * MS, 500 * MS, 10_000 * MS, COLD, WARM, MULTIPLE, FALL, 1, 0, null,
                    new Api.LoadReportLayout(-1, -1, -1));
            Router[] self = new Router[1];
            self[0] = new Router(settings, seed, new Api.Actions() {
                private final java.util.Map<Long, Integer> attempts = new java.util.HashMap<>();

                @Override
                public void send(long request, long server, long cutAt) {
                    int attempt = attempts.merge(request, 1, Integer::sum) - 1;
                    long took = (long) (-Math.log(1 - random.nextDouble()) * MEAN_WORK_MS * MS) + 2 * MS;
                    boolean failed = random.nextInt(50) == 0;
                    if (server == COLD_HOST && now < START + WARM) {
                        count();
                    }
                    at(now + Math.min(took, cutAt - now), () -> self[0].onAttemptOutcome(now, new Api.AttemptOutcome(request, attempt,
                            took > cutAt - now ? Reason.TIMEOUT : failed ? Reason.ERROR : Reason.OK, took,
                            !failed && took <= cutAt - now, new float[0])));
                }

                @Override
                public void cancel(long request, int attempt) {
                    at(now, () -> self[0].onAttemptOutcome(now,
                            new Api.AttemptOutcome(request, attempt, Reason.CANCELLED, 0, true, new float[0])));
                }

                @Override
                public void scheduleTimer(long moment, int token) {
                    at(moment, () -> self[0].onTimer(now, token));
                }

                @Override
                public void refuse(long request, long retryAfter) {
                }

                @Override
                public void fail(long request) {
                }

                @Override
                public void closeIdleConnections(long server) {
                }

                @Override
                public void subscribe() {
                }
            });
            return self[0];
        }

        private void at(long moment, Runnable action) {
            events.add(new Event(Math.max(now, moment), order++, action));
        }

        /** One more request reached the cold host. */
        private void count() {
            sent++;
            window.add(now);
            while (window.peek() <= now - FALL) {
                window.poll();
            }
            double grown = Math.min(1, (double) (now - START) / WARM);
            double capacity = CORES * 1_000 / MEAN_WORK_MS * (COLD + (1 - COLD) * grown);
            double budget = MULTIPLE * capacity * FALL / 1e9;
            worst = Math.max(worst, window.size() / (budget + 2 * Math.sqrt(budget) + 2));
        }

        private static Api.Server host(long id, long startedAt) {
            return new Api.Server(id, 0, 0, 0, Api.State.READY, 1, startedAt);
        }

        /** Plays the day; {@code hot} is the part of the traffic that one key draws from just after the start. */
        Fleet play(double hot) {
            List<Api.Server> list = new ArrayList<>();
            for (int id = 2; id <= hosts; id++) {
                list.add(host(id, 0));
            }
            for (Router router : routers) {
                router.onServerList(0, ListMode.FULL, list);
                at(START + 20 * MS + random.nextLong(2_000 * MS), () -> router.onServerList(now, ListMode.DELTA,
                        List.of(host(COLD_HOST, START))));
            }
            double perNs = load * hosts * CORES / (MEAN_WORK_MS * MS);
            at(0, () -> arrive(perNs, hot));
            while (!events.isEmpty() && now < END) {
                Event event = events.poll();
                now = event.at;
                event.action.run();
            }
            return this;
        }

        private void arrive(double perNs, double hot) {
            double pick = random.nextDouble();
            int at = 0;
            while (at < shares.length - 1 && pick >= shares[at]) {
                pick -= shares[at++];
            }
            long key = now > START + 500 * MS && random.nextDouble() < hot ? HOT_KEY
                    : Candidates.mix64((long) (KEYS * Math.pow(random.nextDouble(), 3)) + 77);
            routers.get(at).onRequest(now, new Api.Request(++requests, 0, 0, key, now + 1_500 * MS, 0, false, false));
            // Bursts of half as much again, a second in every three.
            double rate = perNs * (now / (1_000 * MS) % 3 == 0 ? 1.5 : 0.75);
            at(now + (long) (-Math.log(1 - random.nextDouble()) / rate), () -> arrive(perNs, hot));
        }
    }

    /** A key whose hash lets the cold host have it from the first moment, so that it is hot there. */
    private static final long HOT_KEY = hotKey();

    private static long hotKey() {
        long salt = Candidates.mix64(COLD_HOST + 0x9e3779b97f4a7c15L);
        for (long key = 1; ; key++) {
            long hash = Candidates.mix64(key ^ salt);
            if ((hash & 2047) < 200 && (hash >>> 11) * 0x1.0p-53 < 0.001) {
                return key;
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"5,12,0.0", "20,12,0.0", "30,16,0.0", "100,60,0.0", "5,12,0.2", "20,12,0.2", "30,16,0.2", "100,60,0.2"})
    void allInstancesTogetherStayWithinTheBudgetOfAColdHost(int balancers, int hosts, double hot) {
        double worst = 0;
        int sent = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Fleet fleet = new Fleet(seed, balancers, hosts, 0.6).play(hot);
            worst = Math.max(worst, fleet.worst);
            sent += fleet.sent;
        }
        System.out.printf("%d balancers, %d hosts, hot %.1f: at most %.2f of the budget; %d sent while cold%n",
                balancers, hosts, hot, worst, sent / SEEDS);
        assertTrue(sent / SEEDS > 50, "the cold host is used");
        assertTrue(worst <= 1, "sent " + worst + " times the budget with what is chance");
    }
}
