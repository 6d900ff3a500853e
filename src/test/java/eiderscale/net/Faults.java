package eiderscale.net;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/**
 * Makes system calls of a process fail. The process preloads the library {@code src/test/c/fault_injection.c}, which
 * reads one rule per kind of call from a file that this class maps. A rule takes effect at once, may be set while the
 * process runs, and replaces the previous rule for that kind of call.
 */
final class Faults {
    /**
     * Kinds of calls, in the order of the library's table. {@code READ}, {@code WRITE} and {@code CLOSE} are calls on
     * stream sockets; {@code FCNTL} sets the flags of such a socket; {@code WAIT} is epoll_wait and poll; {@code OPEN}
     * and {@code FILE_READ} concern the configuration file, {@code ANY_FILE_READ} every regular file;
     * {@code LOG_WRITE} is a write to standard output or standard error; {@code WALL_CLOCK} steps the wall clock and
     * never fails.
     */
    enum Call {
        SOCKET, CONNECT, ACCEPT, READ, WRITE, SHUTDOWN, SETSOCKOPT, WAIT, OPEN, FILE_READ, WALL_CLOCK, ANY_FILE_READ,
        LOG_WRITE, FCNTL, CLOSE
    }

    /** In place of an error number: the read or write succeeds but transfers only one byte. */
    static final int PARTIAL_TRANSFER = 0;
    /** Linux error numbers. */
    static final int EINTR = 4;
    static final int EIO = 5;
    static final int ENOMEM = 12;
    static final int ENFILE = 23;
    static final int ENOSPC = 28;
    static final int EADDRNOTAVAIL = 99;
    static final int ENETUNREACH = 101;
    static final int ECONNABORTED = 103;
    static final int ENOBUFS = 105;
    static final int ETIMEDOUT = 110;
    static final int EHOSTUNREACH = 113;

    /** Failure count: calls fail until the rule is replaced or cleared. */
    static final int UNLIMITED = -1;
    /** Per-mille value: every call fails. */
    static final int ALL_CALLS = 0;

    private static final Path SOURCE = Path.of("src/test/c/fault_injection.c");
    private static final Path LIBRARY = Path.of("target/fault_injection.so").toAbsolutePath();
    private static final int FIELDS_PER_RULE = 6;
    private static final int RULE_BYTES = FIELDS_PER_RULE * Integer.BYTES;
    // Indexes of the 32-bit fields of a rule; they match struct rule in the C source.
    private static final int REMAINING_FIELD = 0;
    private static final int ERROR_FIELD = 1;
    private static final int PORT_FIELD = 2;
    private static final int PER_MILLE_FIELD = 3;
    private static final int SEED_FIELD = 4;
    private static final int FAILED_FIELD = 5;

    private final Path tableFile;
    private final MappedByteBuffer table;

    /** Creates the table without rules, in a file in {@code directory}; compiles the library if it is out of date. */
    Faults(Path directory) throws IOException, InterruptedException {
        compile();
        tableFile = directory.resolve("faults");
        Files.write(tableFile, new byte[RULE_BYTES * Call.values().length]);
        try (FileChannel channel = FileChannel.open(tableFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            table = channel.map(FileChannel.MapMode.READ_WRITE, 0, channel.size());
        }
        table.order(ByteOrder.nativeOrder());
    }

    private static synchronized void compile() throws IOException, InterruptedException {
        if (Files.exists(LIBRARY)
                && Files.getLastModifiedTime(LIBRARY).compareTo(Files.getLastModifiedTime(SOURCE)) > 0) {
            return;
        }
        Path newLibrary = Files.createTempFile(LIBRARY.getParent(), "fault", ".so");
        Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-o", newLibrary.toString(),
                SOURCE.toString(), "-ldl").inheritIO().start();
        if (compiler.waitFor() != 0) {
            throw new IOException("cannot build with the C compiler (cc): " + SOURCE);
        }
        Files.move(newLibrary, LIBRARY, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Adds the variables that make a process with this environment preload the library and use this table. */
    void install(Map<String, String> environment) {
        environment.put("LD_PRELOAD", LIBRARY.toString());
        environment.put("FAULT_TABLE", tableFile.toString());
    }

    /**
     * Makes the next {@code count} calls fail, or all calls if that is {@link #UNLIMITED}. {@code error}: the error
     * number, or {@link #PARTIAL_TRANSFER} for reads and writes.
     */
    void fail(Call call, int error, int count) {
        fail(call, error, count, 0);
    }

    /** The same, only for sockets whose local or remote port is {@code port}; 0 for any port. */
    void fail(Call call, int error, int count, int port) {
        setRule(call, error, count, port, ALL_CALLS, 0);
    }

    /** Lets the next {@code successes} calls succeed and makes the {@code count} calls after them fail. */
    void failAfter(int successes, Call call, int error, int count, int port) {
        setRule(call, error, count, port, -successes, 0);
    }

    /**
     * Makes calls fail at random until the rule is replaced or cleared, with a probability of {@code perMille} / 1000;
     * the sequence of failures depends on {@code seed}.
     */
    void failRandomly(Call call, int error, int perMille, int seed) {
        setRule(call, error, UNLIMITED, 0, perMille, seed);
    }

    private void setRule(Call call, int error, int count, int port, int perMille, int seed) {
        // Disabled while its other fields change, as the process reads the rule without locking.
        setField(call, REMAINING_FIELD, 0);
        setField(call, ERROR_FIELD, error);
        setField(call, PORT_FIELD, port);
        setField(call, PER_MILLE_FIELD, perMille);
        setField(call, SEED_FIELD, seed | 1);
        setField(call, REMAINING_FIELD, count);
    }

    /** Shifts the wall clock by this many seconds, which may be negative; monotonic clocks stay as they are. */
    void stepWallClock(int seconds) {
        fail(Call.WALL_CLOCK, 0, UNLIMITED, seconds);
    }

    /** Ends the failures of a kind of call, or the step of the wall clock. */
    void clear(Call call) {
        setField(call, REMAINING_FIELD, 0);
    }

    void clearAll() {
        for (Call call : Call.values()) {
            clear(call);
        }
    }

    /** The number of failures injected so far into a kind of call, over all rules for it. */
    int failureCount(Call call) {
        return table.getInt(call.ordinal() * RULE_BYTES + FAILED_FIELD * Integer.BYTES);
    }

    private void setField(Call call, int field, int value) {
        table.putInt(call.ordinal() * RULE_BYTES + field * Integer.BYTES, value);
    }

    /** Waits until {@link #failureCount} is at least {@code count}. */
    void awaitFailureCount(Call call, int count) throws InterruptedException {
        Await.until(() -> failureCount(call) >= count, count + " failures of " + call);
    }
}
