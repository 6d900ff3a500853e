package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs the balancer program as a child process and collects the lines that it logs. */
final class BalancerProcess implements AutoCloseable {
    /** Where the balancer listens for clients, on the loopback address. */
    final int port;
    private final Path directory;
    private final BalancerFixture fixture;
    private final Faults faults;
    private final List<String> log = new CopyOnWriteArrayList<>();
    private Process process;
    private volatile boolean isLogComplete;

    /**
     * Listens on a free port. {@code directory}: where the configuration file is written; {@code fixture}: supplies
     * hosts and settings; {@code faults}: the faults to preload, null for none.
     */
    BalancerProcess(Path directory, BalancerFixture fixture, Faults faults) throws IOException {
        this(directory, fixture, faults, FreePort.allocate());
    }

    BalancerProcess(Path directory, BalancerFixture fixture, Faults faults, int port) {
        this.directory = directory;
        this.fixture = fixture;
        this.faults = faults;
        this.port = port;
    }

    Path configFile() {
        return directory.resolve("config.json");
    }

    String config() {
        return fixture.configJson("127.0.0.1:" + port);
    }

    /** Writes the configuration file and starts the process, without waiting until it serves. */
    BalancerProcess start() throws IOException {
        Files.writeString(configFile(), config());
        return startWithConfig(configFile().toString());
    }

    /**
     * Starts the process with {@code GW_CONFIG} set to {@code configPath}, which need not exist; if that is null,
     * {@code GW_CONFIG} is not set.
     */
    BalancerProcess startWithConfig(String configPath) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "@deploy/jvm.options", "-cp", System.getProperty("java.class.path"), "eiderscale.net.Main");
        builder.environment().remove("GW_CONFIG");
        if (configPath != null) {
            builder.environment().put("GW_CONFIG", configPath);
        }
        if (faults != null) {
            faults.install(builder.environment());
        }
        process = builder.redirectErrorStream(true).start();
        Thread reader = new Thread(this::readLog, "log");
        reader.setDaemon(true);
        reader.start();
        return this;
    }

    private void readLog() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream()))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                log.add(line);
            }
        } catch (IOException e) {
            // The process was killed.
        }
        isLogComplete = true;
    }

    /** Starts the process and waits until it accepts clients. */
    BalancerProcess startAndAwaitServing() throws IOException, InterruptedException {
        start();
        awaitLogLine("serves on");
        return this;
    }

    /** Whether a line that contains {@code part} has been logged. */
    boolean hasLogged(String part) {
        return log.stream().anyMatch(line -> line.contains(part));
    }

    /** The lines logged so far. */
    List<String> log() {
        return log;
    }

    /** Waits until a line that contains {@code part} has been logged; fails if the log ends without one. */
    void awaitLogLine(String part) throws InterruptedException {
        Await.until(() -> hasLogged(part) || isLogComplete, "a log line containing: " + part);
        assertTrue(hasLogged(part), "the log ended without: " + part + " " + log);
    }

    /** Opens a client connection. */
    LineSocket connectClient() throws IOException {
        return new LineSocket(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    /** Sends a signal; {@code name} as for {@code kill}, without "SIG". */
    void sendSignal(String name) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
    }

    /** Rewrites the configuration file with the current settings and sends SIGHUP. */
    void reload() throws IOException, InterruptedException {
        Files.writeString(configFile(), config());
        sendSignal("HUP");
    }

    /** The number of open file descriptors; 0 if the process has ended. */
    int openDescriptorCount() {
        String[] descriptors = Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list();
        return descriptors == null ? 0 : descriptors.length;
    }

    /** The most memory that the process has had in use so far, in KiB; 0 if it has ended. */
    long peakMemoryKb() throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        try (Stream<String> lines = Files.lines(status)) {
            return lines.filter(line -> line.startsWith("VmHWM:")).findFirst()
                    .map(line -> Long.parseLong(line.replaceAll("[^0-9]", ""))).orElse(0L);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits until the process has ended and its log was read completely; returns the exit code. */
    int awaitExit() throws InterruptedException {
        assertTrue(process.waitFor(LineSocket.TIMEOUT_MS, TimeUnit.MILLISECONDS), "the process did not exit");
        Await.until(() -> isLogComplete, "the end of the log");
        return process.exitValue();
    }

    /** Kills the process with SIGKILL. */
    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
