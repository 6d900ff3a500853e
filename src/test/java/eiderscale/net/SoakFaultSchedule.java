package eiderscale.net;

import eiderscale.net.Faults.Call;
import java.util.SplittableRandom;

/** Draws the system call faults of a soak at random: which calls fail, how, how often and for how long. */
final class SoakFaultSchedule {
    private static final int[] SOCKET_ERRORS = {Faults.ENFILE, Faults.ENOBUFS};
    private static final int[] CONNECT_ERRORS = {Faults.ENETUNREACH, Faults.EADDRNOTAVAIL, Faults.EHOSTUNREACH,
        Faults.ETIMEDOUT, Faults.ENOBUFS};
    private static final int[] PERSISTENT_ACCEPT_ERRORS = {Faults.ENFILE, Faults.ENOBUFS};
    /** Errors that concern a single connection or signal, so that the next call is unaffected. */
    private static final int[] SINGLE_CALL_ACCEPT_ERRORS = {Faults.EINTR, Faults.ECONNABORTED};
    /** Results of reads and writes that are no failures: the call has to be repeated for the rest. */
    private static final int[] INTERRUPTED_OR_PARTIAL = {Faults.EINTR, Faults.PARTIAL_TRANSFER};
    private static final int[] FILE_ERRORS = {Faults.EIO, Faults.EINTR, Faults.ENOSPC};
    private static final int[] BROKEN_CONNECTION_ERRORS = {Faults.ETIMEDOUT, Faults.EHOSTUNREACH};
    /** Errors of reads and writes after which the connection still works. */
    private static final int[] TRANSIENT_IO_ERRORS = {Faults.ENOMEM, Faults.ENOBUFS, Faults.ETIMEDOUT,
        Faults.EHOSTUNREACH};
    /**
     * Longest time for which all reads or all writes of clients fail: several such faults in a row must not add up to
     * the shortest timeout of a client plus its reply grace.
     */
    private static final int MAX_IO_OUTAGE_MS = 100;
    /**
     * Longest time for which all accept calls fail: beyond the shortest timeout of a client plus its reply grace, a
     * request would be lost whatever the balancer did.
     */
    private static final int MAX_ACCEPT_OUTAGE_MS = 300;
    private static final int MAX_FAULT_DURATION_MS = 1_500;
    private static final int CLOCK_STEP_S = 3_600;

    private final Faults faults;
    private final SplittableRandom random;
    private final int[] hostPorts;
    private String latestFault;
    private boolean mustEndOnTime;

    /** {@code hostPorts}: the ports of the cache hosts, for faults on connections to one of them. */
    SoakFaultSchedule(Faults faults, SplittableRandom random, int... hostPorts) {
        this.faults = faults;
        this.random = random;
        this.hostPorts = hostPorts;
    }

    private int pickOne(int[] values) {
        return values[random.nextInt(values.length)];
    }

    /** Describes the latest fault, for the trace; null before the first one. */
    String latestFault() {
        return latestFault;
    }

    /** Whether the latest fault has to be cleared when its duration is over, as it makes every call fail. */
    boolean mustEndOnTime() {
        return mustEndOnTime;
    }

    private void failRandomly(Call call, int[] errors) {
        int error = pickOne(errors);
        int perMille = random.nextInt(20, 700);
        faults.failRandomly(call, error, perMille, random.nextInt());
        latestFault = call + " error " + error + " " + perMille + " of 1000";
    }

    private void failNext(Call call, int[] errors, int count, int port) {
        int error = pickOne(errors);
        faults.fail(call, error, count, port);
        latestFault = call + " error " + error + " times " + count + " port " + port;
    }

    /** Starts a random fault and returns its duration in milliseconds. {@code balancerPort}: where clients connect. */
    int startFault(int balancerPort) {
        mustEndOnTime = false;
        switch (random.nextInt(18)) {
            case 0 -> {
                failNext(Call.SOCKET, SOCKET_ERRORS, Faults.UNLIMITED, 0);
                mustEndOnTime = true;
            }
            case 1 -> failRandomly(Call.SOCKET, SOCKET_ERRORS);
            case 2 -> failRandomly(Call.CONNECT, CONNECT_ERRORS);
            case 3 -> {
                failNext(Call.ACCEPT, PERSISTENT_ACCEPT_ERRORS, Faults.UNLIMITED, balancerPort);
                mustEndOnTime = true;
                return random.nextInt(MAX_ACCEPT_OUTAGE_MS);
            }
            case 4 -> failNext(Call.ACCEPT, SINGLE_CALL_ACCEPT_ERRORS, random.nextInt(1, 6), balancerPort);
            case 5 -> failRandomly(Call.READ, INTERRUPTED_OR_PARTIAL);
            case 6 -> failRandomly(Call.WRITE, INTERRUPTED_OR_PARTIAL);
            case 7 -> failRandomly(Call.WAIT, new int[] {Faults.EINTR});
            case 8 -> failNext(Call.READ, BROKEN_CONNECTION_ERRORS, random.nextInt(1, 6), pickOne(hostPorts));
            case 9 -> failNext(Call.WRITE, BROKEN_CONNECTION_ERRORS, random.nextInt(1, 6), pickOne(hostPorts));
            case 10 -> failRandomly(random.nextBoolean() ? Call.SHUTDOWN : Call.SETSOCKOPT, BROKEN_CONNECTION_ERRORS);
            case 11 -> failRandomly(Call.ANY_FILE_READ, FILE_ERRORS);
            case 12 -> failRandomly(Call.LOG_WRITE, FILE_ERRORS);
            case 13 -> failRandomly(random.nextBoolean() ? Call.READ : Call.WRITE, TRANSIENT_IO_ERRORS);
            case 14 -> failNext(random.nextBoolean() ? Call.READ : Call.WRITE, TRANSIENT_IO_ERRORS,
                    random.nextInt(1, 6), balancerPort);
            case 15 -> {
                failNext(random.nextBoolean() ? Call.READ : Call.WRITE, TRANSIENT_IO_ERRORS, Faults.UNLIMITED,
                        balancerPort);
                mustEndOnTime = true;
                return random.nextInt(MAX_IO_OUTAGE_MS);
            }
            case 16 -> failRandomly(Call.CLOSE, new int[] {Faults.EINTR, Faults.EIO});
            default -> stepWallClock();
        }
        return random.nextInt(MAX_FAULT_DURATION_MS);
    }

    /** Starts a fault that a restarting process has to survive: a few failed calls, or a wall clock step. */
    void startRestartFault() {
        switch (random.nextInt(5)) {
            case 0 -> failNext(Call.SOCKET, SOCKET_ERRORS, random.nextInt(1, 6), 0);
            case 1 -> failNext(Call.CONNECT, CONNECT_ERRORS, random.nextInt(1, 6), 0);
            case 2 -> failNext(random.nextBoolean() ? Call.OPEN : Call.FILE_READ, FILE_ERRORS, random.nextInt(1, 4), 0);
            case 3 -> failNext(Call.LOG_WRITE, new int[] {Faults.EINTR}, random.nextInt(1, 3), 0);
            default -> stepWallClock();
        }
    }

    private void stepWallClock() {
        int stepSeconds = random.nextBoolean() ? CLOCK_STEP_S : -CLOCK_STEP_S;
        faults.stepWallClock(stepSeconds);
        latestFault = "wall clock " + stepSeconds + " s";
    }

    /** Makes the next 0 to 3 attempts to open or read the configuration file fail. */
    void failConfigReads() {
        faults.fail(random.nextBoolean() ? Call.OPEN : Call.FILE_READ, Faults.EIO, random.nextInt(4));
    }
}
