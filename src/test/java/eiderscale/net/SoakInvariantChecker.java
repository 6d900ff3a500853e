package eiderscale.net;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * Collects what clients and cache hosts observe of each request in a soak, and checks the invariants: each request gets
 * one matching reply in time; a non-idempotent write runs at most once; nothing is sent to a host after its drain
 * grace; the remaining timeout that a host is told does not exceed the client's; nothing is sent for a client that has
 * disconnected.
 *
 * <p>Instants are those of {@link System#nanoTime}. Observations and violations may be reported on any thread;
 * {@link #check} is called once, at the end.
 */
final class SoakInvariantChecker {
    /** Added to the drain grace for the time that requests travel over sockets. */
    private static final long NETWORK_TOLERANCE_NS = 50 * Clock.MILLISECOND;
    /** Longest time that a balancer or a test thread may stall between reading its clock and writing to a socket. */
    private static final long STALL_TOLERANCE_NS = 150 * Clock.MILLISECOND;
    /** How much the timeout stated to a host may exceed the time for which the client still waits. */
    private static final long DEADLINE_TOLERANCE_NS = 150 * Clock.MILLISECOND;
    /** How long after a client has disconnected a host may still receive its request. */
    private static final long DISCONNECT_TOLERANCE_NS = 100 * Clock.MILLISECOND;

    /** A request that a client is about to send. */
    static final class SentRequest {
        final String id;
        final SoakBalancer balancer;
        /** The run of the balancer's process that accepted the client's connection. */
        final SoakBalancer.ProcessRun processRun;
        /** Whether it must not run twice. */
        final boolean isNonIdempotent;
        final long sentAt;
        final long timeoutMs;
        /** When the connection ended, closed by either end; {@link Long#MAX_VALUE} while it is open. */
        volatile long disconnectedAt = Long.MAX_VALUE;

        SentRequest(String id, SoakBalancer balancer, SoakBalancer.ProcessRun processRun, boolean isNonIdempotent,
                long timeoutMs) {
            this.id = id;
            this.balancer = balancer;
            this.processRun = processRun;
            this.isNonIdempotent = isNonIdempotent;
            this.sentAt = System.nanoTime();
            this.timeoutMs = timeoutMs;
        }

        long deadline() {
            return sentAt + timeoutMs * Clock.MILLISECOND;
        }
    }

    /**
     * A command that a host received. {@code statedTimeoutMs}: how long the host was told that the client still waits;
     * {@code mayHaveRun}: whether the host does anything but reject it as "busy".
     */
    private record Arrival(String host, String id, long arrivedAt, long statedTimeoutMs, boolean mayHaveRun) {
    }

    private final long startedAt;
    private final Map<String, SentRequest> requests = new ConcurrentHashMap<>();
    private final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
    private final List<String> violations = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, Integer> outcomeCounts = new ConcurrentHashMap<>();

    /** {@code startedAt}: violations are reported with the milliseconds since then. */
    SoakInvariantChecker(long startedAt) {
        this.startedAt = startedAt;
    }

    /** Tells when a process is expected to know that a host is draining; {@link Long#MAX_VALUE} if it never is. */
    interface DrainNotificationTimes {
        /** {@code processRun}: the run of the balancer's process. */
        long get(String host, SoakBalancer balancer, SoakBalancer.ProcessRun processRun);
    }

    /** Records a request; to be called before it is sent, as it may reach a host at once. */
    void recordSent(SentRequest sent) {
        requests.put(sent.id, sent);
    }

    /** Milliseconds from the start of the soak to {@code at}. */
    long millisSinceStart(long at) {
        return (at - startedAt) / Clock.MILLISECOND;
    }

    /** Records that a host has received a whole command; {@code mayHaveRun}: see {@link Arrival}. */
    void recordArrival(String host, String command, boolean mayHaveRun) {
        String id = FakeHost.opaqueFlag(command).substring(1);
        long statedTimeoutMs = Long.parseLong(command.replaceAll(".*[P,]d=([0-9]+).*", "$1"));
        arrivals.add(new Arrival(host, id, System.nanoTime(), statedTimeoutMs, mayHaveRun));
    }

    /** Whether any host has received the request. */
    boolean wasForwarded(String id) {
        synchronized (arrivals) {
            return arrivals.stream().anyMatch(arrival -> arrival.id.equals(id));
        }
    }

    /** Whether a host has received the request and did not reject it as "busy". */
    boolean mayHaveRun(String id) {
        synchronized (arrivals) {
            return arrivals.stream().anyMatch(arrival -> arrival.mayHaveRun && arrival.id.equals(id));
        }
    }

    /** Counts the outcome of a request, or of a whole batch if that was not sent or was abandoned, for the summary. */
    void countOutcome(String outcome) {
        outcomeCounts.merge(outcome, 1, Integer::sum);
    }

    /** Reports a violated invariant; {@code violation} starts with the invariant's name, such as "lost" or "drain". */
    void reportViolation(String violation) {
        violations.add(millisSinceStart(System.nanoTime()) + " " + violation);
    }

    private void reportViolation(long at, String violation) {
        violations.add(millisSinceStart(at) + " " + violation);
    }

    /**
     * Reports the commands that hosts received for requests that nobody sent, after the drain grace, with too long a
     * timeout, or after the client had disconnected, and non-idempotent requests that may have run more than once.
     */
    void check(DrainNotificationTimes notifications, long graceMs) {
        for (Arrival arrival : List.copyOf(arrivals)) {
            SentRequest sent = requests.get(arrival.id);
            if (sent == null) {
                reportViolation(arrival.arrivedAt, "lost: a request that no client sent: " + arrival.id);
                continue;
            }
            check(arrival, sent);
            checkDrain(arrival, notifications.get(arrival.host, sent.balancer, sent.processRun), graceMs);
        }
        arrivals.stream().filter(arrival -> arrival.mayHaveRun && isNonIdempotent(arrival.id))
                .collect(Collectors.groupingBy(Arrival::id)).forEach((id, runs) -> {
                    if (runs.size() > 1) {
                        reportViolation("duplicate: " + id + " ran " + runs.size() + " times");
                    }
                });
    }

    private boolean isNonIdempotent(String id) {
        SentRequest sent = requests.get(id);
        return sent != null && sent.isNonIdempotent;
    }

    private void checkDrain(Arrival arrival, long notifiedAt, long graceMs) {
        long lateNs = notifiedAt == Long.MAX_VALUE ? 0
                : arrival.arrivedAt - notifiedAt - graceMs * Clock.MILLISECOND;
        if (lateNs > NETWORK_TOLERANCE_NS + STALL_TOLERANCE_NS) {
            reportViolation(arrival.arrivedAt, "drain: " + arrival.id + " at " + arrival.host + " "
                    + lateNs / Clock.MILLISECOND + " ms past the drain grace");
        }
    }

    private void check(Arrival arrival, SentRequest sent) {
        long remainingNs = sent.deadline() - arrival.arrivedAt;
        if (arrival.statedTimeoutMs * Clock.MILLISECOND > remainingNs + DEADLINE_TOLERANCE_NS + STALL_TOLERANCE_NS) {
            reportViolation(arrival.arrivedAt, "deadline: " + arrival.id + " states a timeout of "
                    + arrival.statedTimeoutMs + " ms, remaining ms: " + remainingNs / Clock.MILLISECOND);
        }
        if (sent.disconnectedAt != Long.MAX_VALUE
                && arrival.arrivedAt - sent.disconnectedAt > DISCONNECT_TOLERANCE_NS + STALL_TOLERANCE_NS) {
            reportViolation(arrival.arrivedAt, "lost: " + arrival.id + " arrived "
                    + (arrival.arrivedAt - sent.disconnectedAt) / Clock.MILLISECOND
                    + " ms after its client disconnected");
        }
    }

    /** The violations reported so far, each with the milliseconds since the start. */
    List<String> violations() {
        return List.copyOf(violations);
    }

    /**
     * The number of requests, their outcomes, and the number of commands that hosts received. The outcomes: "served",
     * "refused" and "failed" are replies; "left": the client disconnected; "not sent": writing to the connection
     * failed; "killed": the balancer was killed; "shut unread": the balancer closed the connection before it read the
     * request; "half told": it closed a connection because of an incomplete command.
     */
    String summary() {
        return requests.size() + " requests " + new TreeMap<>(outcomeCounts) + ", at hosts " + arrivals.size();
    }
}
