package eiderscale.net;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for discovery: holds a host list with a revision and responds to long polls for it. Tests can make
 * it fail, ignore or delay calls. Thread-safe.
 */
final class DiscoveryServer implements AutoCloseable {
    private static final int FIRST_REVISION = 7;
    private final Map<String, String> targetJsonByUid = new LinkedHashMap<>();
    private final FakeHost server;
    private int revision = FIRST_REVISION;
    private int answerableCalls;
    private int latestSentRevision;
    private final List<SentResponse> sentResponses = new CopyOnWriteArrayList<>();
    /** How many of the next calls fail. */
    private int callsToFail;
    /** How many of the next calls get no response. */
    private int callsToIgnore;
    private int ignoredCalls;
    private long queueDelayNs;
    private boolean isClosed;

    DiscoveryServer() throws IOException {
        server = new FakeHost(this::handleCall);
    }

    String endpoint() {
        return server.endpoint();
    }

    /** Adds a host or replaces its entry, which increments the revision. {@code state}: as in discovery's format. */
    synchronized void setHostState(String uid, String endpoint, String state) {
        setTarget(uid, BalancerFixture.targetJson(uid, endpoint, state));
    }

    /** The same with the whole entry; see {@link BalancerFixture#targetJson}. */
    synchronized void setTarget(String uid, String targetJson) {
        targetJsonByUid.put(uid, targetJson);
        revision++;
        notifyAll();
    }

    /** Lets the next {@code count} calls fail, alternately with a reset and status 503, the last one with 503. */
    synchronized void failNext(int count) {
        callsToFail = count;
    }

    /** Leaves the next {@code count} calls without a response. */
    synchronized void ignoreNext(int count) {
        callsToIgnore = count;
    }

    /** Delays the handling of each later call by this time, as if it were queued. */
    synchronized void queueDelayNs(long delayNs) {
        queueDelayNs = delayNs;
    }

    /** The number of calls left without a response so far. */
    synchronized int ignoredCalls() {
        return ignoredCalls;
    }

    /** A response that was sent. {@code sentAt}: in {@link System#nanoTime}. */
    private record SentResponse(int revision, long sentAt) {
    }

    /**
     * When this revision or a later one was first sent, at {@code since} or after it, to a caller that had not
     * disconnected; {@link Long#MAX_VALUE} if it was not. Instants are those of {@link System#nanoTime}.
     */
    long firstSentAt(int minRevision, long since) {
        return sentResponses.stream().filter(response -> response.revision >= minRevision && response.sentAt >= since)
                .mapToLong(SentResponse::sentAt).min().orElse(Long.MAX_VALUE);
    }

    /** The number of calls so far, without those that failed or got no response on purpose. */
    synchronized int answerableCalls() {
        return answerableCalls;
    }

    /** The latest revision that was sent in a response. */
    synchronized int latestSentRevision() {
        return latestSentRevision;
    }

    synchronized int revision() {
        return revision;
    }

    private void handleCall(LineSocket connection) throws IOException {
        String request = connection.readLine();
        for (String line = request; line != null && !line.isEmpty(); ) {
            line = connection.readLine();
        }
        if (request == null) {
            return;
        }
        if (failOrIgnoreIfDue(connection)) {
            return;
        }
        ListResponse response =
                awaitListAfter(numericParameter(request, "since="), numericParameter(request, "timeout_ms="));
        if (!connection.isClosedByPeer()) {
            sentResponses.add(new SentResponse(response.revision, System.nanoTime()));
            connection.write(response.text);
            recordSent(response.revision);
        }
    }

    /** Fails the call or waits until its caller gives up, if a test asked for it; returns whether it did. */
    private boolean failOrIgnoreIfDue(LineSocket connection) throws IOException {
        int remainingToIgnore;
        int remainingToFail;
        synchronized (this) {
            remainingToIgnore = callsToIgnore;
            callsToIgnore = Math.max(0, callsToIgnore - 1);
            ignoredCalls += remainingToIgnore > 0 ? 1 : 0;
            remainingToFail = remainingToIgnore > 0 ? 0 : callsToFail;
            callsToFail = remainingToIgnore > 0 ? callsToFail : Math.max(0, callsToFail - 1);
        }
        if (remainingToIgnore > 0) {
            connection.awaitPeerClose();
        } else if (remainingToFail % 2 == 1) {
            connection.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        } else if (remainingToFail > 0) {
            connection.reset();
        }
        return remainingToIgnore > 0 || remainingToFail > 0;
    }

    private synchronized void recordSent(int sentRevision) {
        latestSentRevision = Math.max(latestSentRevision, sentRevision);
    }

    /** A list as an HTTP response, and its revision. */
    private record ListResponse(int revision, String text) {
    }

    /** The value of a parameter in the request line. */
    private static int numericParameter(String request, String name) {
        String rest = request.substring(request.indexOf(name) + name.length());
        return Integer.parseInt(rest.split("[^0-9]")[0]);
    }

    /** Waits until the list is newer than {@code knownRevision}, at most for the long-poll timeout of the call. */
    private synchronized ListResponse awaitListAfter(int knownRevision, int timeoutMs) {
        answerableCalls++;
        long handlingStartsAt = System.nanoTime() + queueDelayNs;
        long pollDeadline = handlingStartsAt + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        try {
            while (System.nanoTime() < handlingStartsAt) {
                TimeUnit.NANOSECONDS.timedWait(this, handlingStartsAt - System.nanoTime());
            }
            while (revision <= knownRevision && !isClosed && System.nanoTime() < pollDeadline) {
                TimeUnit.NANOSECONDS.timedWait(this, pollDeadline - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        String json = "{\"rev\":" + revision + ",\"all\":" + (revision > knownRevision) + ",\"targets\":["
                + (revision > knownRevision ? String.join(",", targetJsonByUid.values()) : "") + "]}";
        return new ListResponse(revision, "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json);
    }

    @Override
    public synchronized void close() throws IOException {
        isClosed = true;
        notifyAll();
        server.close();
    }
}
