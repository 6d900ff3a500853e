package eiderscale.net;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;

/**
 * One balancer of a soak, which injects faults into its process and reloads, stops, kills and restarts it. It has two
 * discovery servers with the same host list; a reload switches the balancer to one of them.
 */
final class SoakBalancer implements AutoCloseable {
    /** One run of the process, from its start to the next start. */
    static final class ProcessRun {
        final long startedAt = System.nanoTime();
        /** Whether it was told to stop: it may then close connections without reading what they sent. */
        volatile boolean isStopping;
        /** Whether it was killed with no SIGTERM before: clients have to retry the requests that it had accepted. */
        volatile boolean isKilled;
    }

    private static final int IDLE_CLIENT_COUNT = 220;
    private static final int MAX_RESTARTS = 2;
    /** Time from SIGTERM to SIGKILL is the request timeout and this margin. */
    private static final long KILL_MARGIN_NS = 700 * Clock.MILLISECOND;

    private final int number;
    private final SplittableRandom random;
    private final SoakInvariantChecker checker;
    private final BalancerFixture fixture;
    private final Path directory;
    private final Faults faults;
    private final SoakFaultSchedule faultSchedule;
    private final DiscoveryServer[] discoveries = {new DiscoveryServer(), new DiscoveryServer()};
    private final boolean hasIdleClients;
    private final List<LineSocket> idleClients = new ArrayList<>();
    private final List<BalancerProcess> processes = new ArrayList<>();
    private final List<String> trace = Collections.synchronizedList(new ArrayList<>());
    private final int port = FreePort.allocate();
    /** Null before the first start. */
    private volatile ProcessRun currentRun;
    private int restartCount;

    /**
     * {@code number}: names the balancer in the trace; {@code fixture}: supplies settings and hosts;
     * {@code hasIdleClients}: whether {@link #IDLE_CLIENT_COUNT} clients that send nothing hold most of its
     * connections.
     */
    SoakBalancer(int number, Path directory, BalancerFixture fixture, SoakInvariantChecker checker,
            boolean hasIdleClients, SplittableRandom random) throws IOException, InterruptedException {
        this.number = number;
        this.directory = directory;
        this.fixture = fixture;
        this.checker = checker;
        this.hasIdleClients = hasIdleClients;
        this.random = random;
        this.faults = new Faults(directory);
        int[] hostPorts = fixture.hosts.stream().mapToInt(host -> Integer.parseInt(host.endpoint().split(":")[1]))
                .toArray();
        this.faultSchedule = new SoakFaultSchedule(faults, random.split(), hostPorts);
        fixture.discoveryEndpoint = discoveries[0].endpoint();
    }

    private void addToTrace(String event) {
        trace.add(checker.millisSinceStart(System.nanoTime()) + " n" + number + " " + event);
    }

    /** The events of the process, each with the milliseconds since the soak started, and then all that it logged. */
    List<String> trace() {
        List<String> all = new ArrayList<>(trace);
        processes.forEach(process -> all.addAll(process.log()));
        return all;
    }

    /** The log lines of all its processes. */
    List<String> log() {
        return processes.stream().flatMap(process -> process.log().stream()).toList();
    }

    /** Sets a host's state in the lists of both discovery servers. */
    void publishHost(String uid, String endpoint, String state) {
        for (DiscoveryServer discovery : discoveries) {
            discovery.setHostState(uid, endpoint, state);
        }
    }

    /** The revision of the latest host list. */
    int listRevision() {
        return discoveries[0].revision();
    }

    /**
     * When discovery first sent this revision of the host list, or a later one, to the process during this run;
     * {@link Long#MAX_VALUE} if it did not.
     */
    long listSentAt(int revision, ProcessRun processRun) {
        return Math.min(discoveries[0].firstSentAt(revision, processRun.startedAt),
                discoveries[1].firstSentAt(revision, processRun.startedAt));
    }

    ProcessRun currentRun() {
        return currentRun;
    }

    /** Whether the process may close a connection without reading it: it is stopping, or evicts idle clients. */
    boolean mayCloseUnread(ProcessRun processRun) {
        return hasIdleClients || processRun.isStopping;
    }

    /** Opens a client connection to the current process. */
    LineSocket connect() throws IOException {
        return processes.get(processes.size() - 1).connectClient();
    }

    /** Starts the process, under a fault unless it is the first start, and opens the idle clients' connections. */
    void start() throws IOException, InterruptedException {
        faults.clearAll();
        if (!processes.isEmpty()) {
            faultSchedule.startRestartFault();
            addToTrace("starts with fault: " + faultSchedule.latestFault());
        }
        currentRun = new ProcessRun();
        BalancerProcess process = new BalancerProcess(directory, fixture, faults, port);
        processes.add(process);
        process.startAndAwaitServing();
        addToTrace("serves");
        idleClients.clear();
        for (int i = 0; i < (hasIdleClients ? IDLE_CLIENT_COUNT : 0); i++) {
            idleClients.add(process.connectClient());
        }
    }

    /** Injects faults, reloads and restarts until {@code endAt}, then stops the process. */
    void runUntil(long endAt) throws Exception {
        while (System.nanoTime() < endAt) {
            runOneFault();
        }
        if (random.nextBoolean()) {
            faults.clearAll();
        }
        stop();
        faults.clearAll();
    }

    private void runOneFault() throws Exception {
        int durationMs = faultSchedule.startFault(port);
        addToTrace(faultSchedule.latestFault() + " for " + durationMs + " ms");
        if (random.nextInt(6) == 0) {
            discoveries[random.nextInt(2)].failNext(random.nextInt(4));
        }
        if (random.nextInt(12) == 0) {
            discoveries[random.nextInt(2)].ignoreNext(1);
        }
        if (random.nextInt(8) == 0) {
            reload();
        }
        LockSupport.parkNanos(durationMs * Clock.MILLISECOND);
        if (faultSchedule.mustEndOnTime() || random.nextInt(3) > 0) {
            addToTrace("faults cleared");
            faults.clearAll();
        }
        if (restartCount < MAX_RESTARTS && random.nextInt(12) == 0) {
            restart();
        }
    }

    private void restart() throws Exception {
        restartCount++;
        if (random.nextBoolean()) {
            stop();
        } else {
            addToTrace("SIGKILL");
            currentRun.isKilled = true;
            currentProcess().close();
        }
        currentProcess().awaitExit();
        start();
    }

    private BalancerProcess currentProcess() {
        return processes.get(processes.size() - 1);
    }

    private void reload() throws Exception {
        fixture.discoveryEndpoint = discoveries[random.nextInt(2)].endpoint();
        faultSchedule.failConfigReads();
        addToTrace("SIGHUP");
        currentProcess().reload();
    }

    /** Sends SIGTERM, often followed by more SIGTERMs or SIGHUPs, and SIGKILL if the process does not exit in time. */
    private void stop() throws Exception {
        BalancerProcess process = currentProcess();
        currentRun.isStopping = true;
        addToTrace("SIGTERM");
        long signalledAt = System.nanoTime();
        process.sendSignal("TERM");
        for (int i = random.nextInt(3); i > 0 && process.isAlive(); i--) {
            process.sendSignal(random.nextBoolean() ? "TERM" : "HUP");
        }
        long killAt = signalledAt + fixture.requestDeadlineMs * Clock.MILLISECOND + KILL_MARGIN_NS;
        while (process.isAlive() && System.nanoTime() < killAt) {
            LockSupport.parkNanos(5 * Clock.MILLISECOND);
        }
        if (process.isAlive()) {
            // Not a violation by itself: clients then report the requests that got no reply as lost.
            addToTrace("SIGKILL");
            process.close();
        } else if (process.awaitExit() != 0) {
            checker.reportViolation("stop: the process exited with " + process.awaitExit());
        }
    }

    @Override
    public void close() throws IOException {
        processes.forEach(BalancerProcess::close);
        for (LineSocket client : idleClients) {
            client.close();
        }
        for (DiscoveryServer discovery : discoveries) {
            discovery.close();
        }
    }
}
