package eiderscale.net;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * One client of a soak. It sends single requests and pipelined batches, sometimes disconnects before the replies, and
 * checks each reply: it must arrive in time, match its request, and refuse a write only if that cannot have run.
 */
final class SoakClient implements Runnable {
    /** A reply may arrive this long after the deadline of its request; after that the request counts as lost. */
    private static final int REPLY_GRACE_MS = 500;
    private static final int[] TIMEOUTS_MS = {120, 400, 1_000, 2_000};
    private static final String WRITE_DATA = "hello";

    private final SoakBalancer balancer;
    private final SoakInvariantChecker checker;
    private final SplittableRandom random;
    private final String name;
    private final BooleanSupplier isStopped;
    private LineSocket connection;
    /** The run of the balancer's process that accepted {@link #connection}. */
    private SoakBalancer.ProcessRun processRun;
    /** Whether all replies to a batch have been read from {@link #connection}. */
    private boolean hasCompletedBatch;
    private int requestCount;

    /** {@code name}: prefix of the ids of its requests; {@code isStopped}: ends {@link #run} once true. */
    SoakClient(SoakBalancer balancer, SoakInvariantChecker checker, long seed, String name, BooleanSupplier isStopped) {
        this.balancer = balancer;
        this.checker = checker;
        this.random = new SplittableRandom(seed);
        this.name = name;
        this.isStopped = isStopped;
    }

    @Override
    public void run() {
        while (!isStopped.getAsBoolean()) {
            try {
                if (connection != null || connect()) {
                    sendBatch();
                }
            } catch (IOException e) {
                // Connecting failed, or the connection ended: requests in flight on it have been checked already.
                disconnect();
            }
            LockSupport.parkNanos(random.nextInt(1, 30) * Clock.MILLISECOND);
        }
        disconnect();
    }

    /**
     * Connects to the balancer. Returns false if its process was restarted meanwhile, as it is then unknown which run
     * accepted the connection.
     */
    private boolean connect() throws IOException {
        processRun = balancer.currentRun();
        connection = balancer.connect();
        hasCompletedBatch = false;
        if (processRun != balancer.currentRun()) {
            disconnect();
        }
        return connection != null;
    }

    private void disconnect() {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // The connection is closed nevertheless.
        }
        connection = null;
    }

    /** Sends a batch of 1 to 5 requests, and reads the replies unless it disconnects before. */
    private void sendBatch() throws IOException {
        int size = random.nextInt(8) == 0 ? random.nextInt(2, 6) : 1;
        int timeoutMs = TIMEOUTS_MS[random.nextInt(TIMEOUTS_MS.length)];
        List<SoakInvariantChecker.SentRequest> batch = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < size; i++) {
            String id = name + "x" + ++requestCount;
            boolean isWrite = random.nextInt(4) == 0;
            SoakInvariantChecker.SentRequest sent =
                    new SoakInvariantChecker.SentRequest(id, balancer, processRun, isWrite, timeoutMs);
            checker.recordSent(sent);
            batch.add(sent);
            text.append(isWrite ? "ms " + id + " 5 O" + id + " Pc=copy,t=acme,d=" + timeoutMs + "\r\n" + WRITE_DATA
                    : "mg " + id + " v O" + id + " Pc=read,t=acme,d=" + timeoutMs).append("\r\n");
        }
        try {
            connection.write(text.toString());
        } catch (IOException e) {
            batch.forEach(sent -> sent.disconnectedAt = System.nanoTime());
            checker.countOutcome("not sent");
            throw e;
        }
        if (random.nextInt(12) == 0) {
            LockSupport.parkNanos(random.nextInt(60) * Clock.MILLISECOND);
            disconnect();
            batch.forEach(sent -> sent.disconnectedAt = System.nanoTime());
            checker.countOutcome("left");
            return;
        }
        for (SoakInvariantChecker.SentRequest sent : batch) {
            awaitReply(sent);
        }
        hasCompletedBatch = true;
    }

    private void awaitReply(SoakInvariantChecker.SentRequest sent) throws IOException {
        long remainingNs = sent.deadline() - System.nanoTime();
        connection.setReadTimeout((int) Math.max(1, remainingNs / Clock.MILLISECOND + REPLY_GRACE_MS));
        String line;
        try {
            line = connection.readLine();
        } catch (SocketTimeoutException e) {
            checker.reportViolation("lost: no reply to " + sent.id + " with a timeout of " + sent.timeoutMs + " ms");
            throw e;
        }
        if (line == null) {
            checkClose(sent);
            throw new IOException("closed");
        }
        checkReply(sent, line);
    }

    /** Checks whether the balancer was allowed to close the connection without a reply to this request. */
    private void checkClose(SoakInvariantChecker.SentRequest sent) {
        sent.disconnectedAt = System.nanoTime();
        if (processRun.isKilled) {
            checker.countOutcome("killed");
        } else if (balancer.mayCloseUnread(processRun) && !checker.wasForwarded(sent.id)) {
            checker.countOutcome("shut unread");
        } else {
            checker.reportViolation("lost: the connection was closed before a reply to " + sent.id
                    + (hasCompletedBatch ? "" : ", in its first batch"));
        }
    }

    private void checkReply(SoakInvariantChecker.SentRequest sent, String line) throws IOException {
        if (line.startsWith("VA ")) {
            String value = connection.readData(Integer.parseInt(line.split(" ")[1]));
            boolean isOwnReply = value.equals(sent.id) && line.contains(" O" + sent.id);
            checker.countOutcome("served");
            if (!isOwnReply || sent.isNonIdempotent) {
                checker.reportViolation("lost: " + sent.id + " got the reply " + line + " " + value);
            }
        } else if (line.startsWith("HD ")) {
            checker.countOutcome("served");
            if (!line.contains(" O" + sent.id + " ") || !sent.isNonIdempotent) {
                checker.reportViolation("lost: " + sent.id + " got the reply " + line);
            }
        } else if (line.startsWith("SERVER_ERROR busy")) {
            checker.countOutcome("refused");
            if (sent.isNonIdempotent && checker.mayHaveRun(sent.id)) {
                checker.reportViolation("refusal: " + sent.id + " may have run");
            }
        } else if (line.startsWith("SERVER_ERROR failed")) {
            checker.countOutcome("failed");
        } else {
            checker.reportViolation("lost: " + sent.id + " got the reply " + line);
        }
    }
}
