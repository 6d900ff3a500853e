package eiderscale.net;

import eiderscale.Api.Reason;
import java.util.Arrays;
import java.util.List;

/** Sparse counts on standard error, to find causes by: how requests and attempts end, and how late we run. */
final class Counters {
    private static final String PREFIX = "shelfroute: ";
    private final long[] outcomes = new long[Reason.values().length];
    long taken;
    private long served;
    /** Of those served, how many their host had to fetch. */
    private long missed;
    /** Reads answered since the last line, and their time: those their host held, and those it fetched. */
    private final long[] reads = new long[2];
    private final long[] readTime = new long[2];
    long refused;
    long failed;
    long clientsGone;
    /** Of those gone, how many left in the first half of their time. */
    long goneEarly;
    long malformed;
    long lastCalls;
    long connects;
    /** Connections that could not be begun as this machine had no socket, and calls to accept that failed. */
    long noSocket;
    private long acceptFailures;
    private long discoveryFailures;
    private long brokenClients;
    /** Reads and writes that failed, on connections of any kind. */
    private long failedCalls;
    private final SparseLog callLog = new SparseLog();
    private final SparseLog clientLog = new SparseLog();
    private final SparseLog acceptLog = new SparseLog();
    private final SparseLog discoveryLog = new SparseLog();
    /** Of those, how many their host turned away with its first word: it had no place for them. */
    long noPlace;
    long localRefusals;
    /** Of those refused, how many no attempt had been made for. */
    long refusedUnsent;
    /** Ended unserved in the second half of their time with no attempt written whole. */
    long heldBack;
    /** Attempts of writes, and further attempts; of each how many ended in an error. */
    private final long[] writes = new long[2];
    private final long[] further = new long[2];
    /** Clients' connections ended by us: idle ones for want of room, and new ones past all room. */
    long evicted;
    long turnedAway;
    /** Peers that were closed for having said nothing whole. */
    long silent;
    /** Resets on connections that had stood idle, and the shortest and longest such time. */
    long staleResets;
    private long shortestStale = Long.MAX_VALUE;
    private long longestStale;
    private long longestWay;
    private long slowDeliveries;
    private long longestDelivery;
    private long longestTurn;
    private long troubles;
    private long timers;
    private long lateTimers;
    private long latest;

    void outcome(Attempt attempt, Reason reason) {
        outcomes[reason.ordinal()]++;
        int error = reason == Reason.ERROR ? 1 : 0;
        if (attempt.exchange.command.isWrite) {
            writes[0]++;
            writes[1] += error;
        }
        if (attempt.index > 0) {
            further[0]++;
            further[1] += error;
        }
    }

    /** A request was served; {@code hit} is the answer's word on it, null for a write. */
    void served(String hit, long took) {
        served++;
        if (hit != null) {
            int fetched = "0".equals(hit) ? 1 : 0;
            missed += fetched;
            reads[fetched]++;
            readTime[fetched] += took;
        }
    }

    private double meanRead(int fetched) {
        return (double) readTime[fetched] / Math.max(1, reads[fetched]);
    }

    void timer(long late) {
        timers++;
        lateTimers += late > 5 * Clock.MILLISECOND ? 1 : 0;
        latest = Math.max(latest, late);
    }

    /** From the module's send until the attempt's last byte was handed to its connection. */
    void way(long took) {
        longestWay = Math.max(longestWay, took);
    }

    /** From an answer until its turn came on the client's connection, and until its last byte had left. */
    void delivery(long turn, long left) {
        slowDeliveries += left - turn > 5 * Clock.MILLISECOND ? 1 : 0;
        longestTurn = Math.max(longestTurn, turn);
        longestDelivery = Math.max(longestDelivery, left - turn);
    }

    void acceptFailure(Throwable cause) {
        acceptFailures++;
        acceptLog.log("cannot accept: " + cause);
    }

    /** A client's connection broke under these requests. */
    void brokenClient(Throwable cause, List<String> openRequests) {
        brokenClients++;
        if (!openRequests.isEmpty()) {
            clientLog.log("a client's connection broke: " + cause + ", open requests " + openRequests);
        }
    }

    /** A read or write failed; the connection may be whole all the same. */
    void failedCall(String call, Throwable cause) {
        failedCalls++;
        callLog.log("a " + call + " failed: " + cause.getMessage());
    }

    void discoveryFailure(String line) {
        discoveryFailures++;
        discoveryLog.log(line);
    }

    void staleReset(long idleFor) {
        staleResets++;
        longestStale = Math.max(longestStale, idleFor);
        shortestStale = Math.min(shortestStale, idleFor);
    }

    /** Whether anything went badly since the last call: such a second is worth a line of its own. */
    boolean troubled() {
        long before = troubles;
        troubles = refused + failed + lastCalls + lateTimers + turnedAway + evicted + staleResets
                + outcomes[Reason.TIMEOUT.ordinal()] + outcomes[Reason.CONNECT_FAILED.ordinal()];
        return troubles != before;
    }

    /** Writes what has been counted so far; what is called worst is so since the last line. */
    void print(String gauges) {
        LogLine line = new LogLine();
        printRequests(line);
        printConnections(line);
        printDelays(line);
        printReads(line);
        printFailures(line);
        printOutcomes(line);
        forgetWorst();
        log(line.words(gauges).toString());
    }

    private void printRequests(LogLine line) {
        line.count("taken", taken).count("served", served).count("missed", missed).count("refused", refused)
                .count("unsent", refusedUnsent).count("failed", failed).count("gone", clientsGone)
                .count("early", goneEarly).count("malformed", malformed).count("last-calls", lastCalls)
                .count("held-back", heldBack).group();
    }

    private void printConnections(LogLine line) {
        line.count("connects", connects).count("no-place", noPlace).count("local-refusals", localRefusals)
                .count("evicted", evicted).count("turned-away", turnedAway).count("silent", silent)
                .count("stale-resets", staleResets);
        if (longestStale > 0) {
            line.ms("after", shortestStale).ms("to", longestStale);
        }
        line.group();
    }

    private void printDelays(LogLine line) {
        line.ms("turn worst", longestTurn).count("slow deliveries", slowDeliveries).ms("worst", longestDelivery)
                .ms("way worst", longestWay).count("timers", timers).count("late", lateTimers).ms("worst", latest)
                .group();
    }

    private void printReads(LogLine line) {
        line.count("hits", reads[0]).ms("mean", meanRead(0)).count("fetched", reads[1]).ms("mean", meanRead(1))
                .part("errors of writes", writes[1], writes[0]).part("of further", further[1], further[0]).group();
    }

    private void printFailures(LogLine line) {
        line.count("no-socket", noSocket).count("accept-failures", acceptFailures)
                .count("discovery-failures", discoveryFailures).count("broken-clients", brokenClients)
                .count("failed-calls", failedCalls).group();
    }

    private void printOutcomes(LogLine line) {
        for (Reason reason : Reason.values()) {
            if (outcomes[reason.ordinal()] > 0) {
                line.count(reason.name(), outcomes[reason.ordinal()]);
            }
        }
        line.group();
    }

    private void forgetWorst() {
        Arrays.fill(reads, 0);
        Arrays.fill(readTime, 0);
        latest = 0;
        longestWay = 0;
        longestTurn = 0;
        longestDelivery = 0;
        longestStale = 0;
        shortestStale = Long.MAX_VALUE;
    }

    static void log(String line) {
        System.err.println(PREFIX + line);
    }

    /** An exception that nobody expected: the place where it arose is what finds its cause. */
    static void log(String what, Throwable cause) {
        StringBuilder line = new StringBuilder(what).append(": ").append(cause);
        StackTraceElement[] trace = cause.getStackTrace();
        for (int i = 0; i < Math.min(6, trace.length); i++) {
            line.append(" <- ").append(trace[i]);
        }
        log(line.toString());
    }
}
