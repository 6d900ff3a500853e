package eiderscale.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;

/**
 * One seeded soak: one to three balancers serve clients while system calls fail, cache hosts misbehave and drain, and
 * processes get signals, all drawn at random from the seed. Every fourth seed runs a single balancer with many idle
 * client connections and few sockets.
 */
final class SoakScenario {
    private static final int HOST_COUNT = 5;
    private static final int MAX_BALANCERS = 3;
    private static final int CLIENT_COUNT = 9;
    private static final int MAX_SOCKETS_WITH_IDLE_CLIENTS = 320;
    /** Seeds that are multiples of this run with idle clients. */
    private static final int IDLE_CLIENTS_SEED_INTERVAL = 4;
    private static final long DURATION_NS = Integer.getInteger("soak.seconds", 11) * Clock.SECOND;
    private static final int MAX_DRAINED_HOSTS = 3;
    /** A process is expected to know a change of the host list this long after it, whatever fails. */
    private static final long MAX_NOTIFICATION_DELAY_NS = 6 * Clock.SECOND;
    private static final long DRAIN_GRACE_MS = 500;
    private static final int REQUEST_TIMEOUT_MS = 2_000;
    /** Parts of log lines that report injected faults. Any other line that mentions an exception is a violation. */
    private static final List<String> EXPECTED_FAILURES = List.of("discovery failed", "cannot accept",
            "keeping the current configuration", "connection broke", "a read failed", "a write failed",
            "Socket creation failed");

    private final int seed;
    private final SplittableRandom random;
    private volatile SoakInvariantChecker checker;
    private final List<FakeHost> hosts = new ArrayList<>();
    private final List<SoakBalancer> balancers = new ArrayList<>();
    /** The draining hosts, by uid. */
    private final Map<String, DrainStart> drainStarts = new HashMap<>();
    private volatile boolean isOver;

    /** {@code listRevision}: the first revision of the host list that has the host as terminating. */
    private record DrainStart(int listRevision, long startedAt) {
    }

    SoakScenario(int seed) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
    }

    /** The events of each balancer, with the milliseconds since the soak started, and what it logged. */
    List<String> trace() {
        return balancers.stream().flatMap(balancer -> balancer.trace().stream()).toList();
    }

    private boolean hasIdleClients() {
        return seed % IDLE_CLIENTS_SEED_INTERVAL == 0;
    }

    /** Runs the soak; returns the violated invariants. */
    List<String> execute(Path directory) throws Exception {
        for (int i = 0; i < HOST_COUNT; i++) {
            hosts.add(startHost("s-" + i, random.nextLong()));
        }
        checker = new SoakInvariantChecker(System.nanoTime());
        int count = hasIdleClients() ? 1 : random.nextInt(1, MAX_BALANCERS + 1);
        String discoveryMode = random.nextBoolean() ? "subscribe" : "automatic";
        try {
            for (int i = 0; i < count; i++) {
                Path balancerDirectory = Files.createDirectory(directory.resolve("n" + i));
                balancers.add(new SoakBalancer(i, balancerDirectory, newFixture(discoveryMode), checker,
                        hasIdleClients(), random.split()));
            }
            runSoak();
        } finally {
            for (SoakBalancer balancer : balancers) {
                balancer.close();
            }
            for (FakeHost host : hosts) {
                host.close();
            }
        }
        return checker.violations();
    }

    private BalancerFixture newFixture(String discoveryMode) {
        BalancerFixture fixture = new BalancerFixture(hosts.toArray(FakeHost[]::new));
        fixture.allowedRequestsPerSecond = 100;
        fixture.requestDeadlineMs = REQUEST_TIMEOUT_MS;
        fixture.drainGraceMs = DRAIN_GRACE_MS;
        fixture.connectTimeoutMs = 250;
        fixture.hostIdleTimeoutMs = 3_000;
        fixture.maxSockets = hasIdleClients() ? MAX_SOCKETS_WITH_IDLE_CLIENTS : 1024;
        fixture.discoveryMode = discoveryMode;
        return fixture;
    }

    private void runSoak() throws Exception {
        for (int i = 0; i < HOST_COUNT; i++) {
            for (SoakBalancer balancer : balancers) {
                balancer.publishHost("s-" + i, hosts.get(i).endpoint(), "Ready");
            }
        }
        for (SoakBalancer balancer : balancers) {
            balancer.start();
        }
        long endAt = System.nanoTime() + DURATION_NS;
        List<Thread> clients = startClients();
        ExecutorService executor = Executors.newFixedThreadPool(balancers.size());
        List<Future<?>> balancerTasks = new ArrayList<>();
        for (SoakBalancer balancer : balancers) {
            Callable<Void> task = () -> {
                balancer.runUntil(endAt);
                return null;
            };
            balancerTasks.add(executor.submit(task));
        }
        drainHosts(endAt);
        for (Future<?> task : balancerTasks) {
            task.get();
        }
        executor.shutdown();
        isOver = true;
        for (Thread client : clients) {
            client.join();
        }
        checkInvariants();
    }

    private void checkInvariants() {
        checker.check(this::drainNotifiedAt, DRAIN_GRACE_MS);
        for (SoakBalancer balancer : balancers) {
            balancer.log().stream()
                    .filter(line -> line.contains("xception") && EXPECTED_FAILURES.stream().noneMatch(line::contains))
                    .forEach(line -> checker.reportViolation("log: " + line));
        }
    }

    /** When a process is expected to know that a host is draining; {@link Long#MAX_VALUE} if it is not draining. */
    private long drainNotifiedAt(String host, SoakBalancer balancer, SoakBalancer.ProcessRun processRun) {
        DrainStart drain = drainStarts.get(host);
        if (drain == null) {
            return Long.MAX_VALUE;
        }
        long latestAt = Math.max(drain.startedAt, processRun.startedAt) + MAX_NOTIFICATION_DELAY_NS;
        return Math.min(balancer.listSentAt(drain.listRevision, processRun), latestAt);
    }

    private List<Thread> startClients() {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            SoakBalancer balancer = balancers.get(i % balancers.size());
            threads.add(startThread(new SoakClient(balancer, checker, random.nextLong(), "c" + i, () -> isOver)));
        }
        for (SoakBalancer balancer : balancers) {
            threads.add(startThread(
                    new SoakIncompleteCommandClient(balancer, checker, random.nextLong(), () -> isOver)));
        }
        return threads;
    }

    private static Thread startThread(Runnable client) {
        Thread thread = new Thread(client, "client");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Starts to drain hosts at random times until {@code endAt}. */
    private void drainHosts(long endAt) {
        while (drainStarts.size() < MAX_DRAINED_HOSTS) {
            LockSupport.parkNanos(random.nextLong(DURATION_NS / 2));
            if (System.nanoTime() >= endAt) {
                return;
            }
            drainNextHost();
        }
    }

    private void drainNextHost() {
        String uid = "s-" + drainStarts.size();
        String endpoint = hosts.get(drainStarts.size()).endpoint();
        for (SoakBalancer balancer : balancers) {
            balancer.publishHost(uid, endpoint, "Terminating");
        }
        drainStarts.put(uid, new DrainStart(balancers.get(0).listRevision(), System.nanoTime()));
    }

    /**
     * Starts a cache host that resets the connection on 2 % of the commands, responds to 2 % with "busy" and to 2 %
     * with "failed", ignores 1 %, and serves 8 % after 100 ms and the rest after up to 7 ms.
     */
    private FakeHost startHost(String uid, long hostSeed) throws IOException {
        SplittableRandom hostRandom = new SplittableRandom(hostSeed);
        FakeHost[] host = new FakeHost[1];
        host[0] = new FakeHost(connection -> {
            for (String command = host[0].readCommand(connection); command != null;
                    command = host[0].readCommand(connection)) {
                int percentile;
                synchronized (hostRandom) {
                    percentile = hostRandom.nextInt(100);
                }
                checker.recordArrival(uid, command, percentile < 2 || percentile >= 4);
                if (percentile < 2) {
                    connection.reset();
                    return;
                } else if (percentile < 4) {
                    connection.write("SERVER_ERROR busy\r\n");
                } else if (percentile < 6) {
                    connection.write("SERVER_ERROR failed\r\n");
                } else if (percentile >= 7) {
                    LockSupport.parkNanos((percentile < 15 ? 100 : percentile % 8) * Clock.MILLISECOND);
                    connection.write(FakeHost.responseTo(command));
                }
            }
        });
        return host[0];
    }

    /**
     * One line: the seed, "with a crowd" if there were idle clients, the number of balancers, the requests, and the
     * number of hosts that were drained.
     */
    String summary() {
        return "seed " + seed + (hasIdleClients() ? " with a crowd: " : ": ") + balancers.size() + " balancers, "
                + checker.summary() + ", drained " + drainStarts.size();
    }
}
