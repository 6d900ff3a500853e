package eiderscale.net;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send one read at a time, each on a connection of its own, while a test puts the balancer under load.
 * They count the replies, and the requests that got none by half a second after their time, which is when a request
 * counts as lost.
 */
final class SoundClients implements AutoCloseable {
    static final int TIMEOUT_MS = 1_500;
    private static final int LOST_AFTER_MS = TIMEOUT_MS + 500 + 50;
    private static final int PAUSE_MS = 50;

    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger notServed = new AtomicInteger();
    final AtomicInteger lost = new AtomicInteger();
    /** The longest time until a reply, in milliseconds. */
    final AtomicLong slowestMs = new AtomicLong();
    private final BalancerProcess process;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean isStopped;

    SoundClients(BalancerProcess process, int count) {
        this.process = process;
        for (int i = 0; i < count; i++) {
            int number = i;
            threads.add(FakeHost.startThread(() -> run(number)));
        }
    }

    private void run(int number) throws IOException {
        LineSocket connection = connect();
        for (int i = 0; !isStopped; i++) {
            String id = "s" + number + "x" + i;
            String command = "mg " + id + " v O" + id + " Pc=read,t=acme,d=" + TIMEOUT_MS;
            long sentAt = System.nanoTime();
            try {
                String reply = request(connection, command);
                if (reply == null) {
                    // The connection's end crossed the request, which is sent once more.
                    connection = connect();
                    reply = request(connection, command);
                }
                count(reply, id, (System.nanoTime() - sentAt) / Clock.MILLISECOND);
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
                connection.close();
                connection = connect();
            }
            pause();
        }
        connection.close();
    }

    private LineSocket connect() throws IOException {
        LineSocket connection = process.connectClient();
        connection.setReadTimeout(LOST_AFTER_MS);
        return connection;
    }

    private static String request(LineSocket connection, String command) throws IOException {
        try {
            String reply = connection.request(command);
            if (reply != null && reply.startsWith("VA ")) {
                connection.readData(Integer.parseInt(reply.split(" ")[1]));
            }
            return reply;
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            return null;
        }
    }

    private void count(String reply, String id, long tookMs) {
        slowestMs.accumulateAndGet(tookMs, Math::max);
        if (reply == null || !reply.startsWith("VA ") && !reply.startsWith("SERVER_ERROR ")
                || reply.startsWith("VA ") && !reply.endsWith(" O" + id)) {
            lost.incrementAndGet();
        } else if (reply.startsWith("VA ")) {
            served.incrementAndGet();
        } else {
            notServed.incrementAndGet();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until every client has its last reply. */
    void stop() throws InterruptedException {
        isStopped = true;
        for (Thread thread : threads) {
            thread.join(LineSocket.TIMEOUT_MS);
        }
    }

    @Override
    public void close() {
        isStopped = true;
    }

    @Override
    public String toString() {
        return "served " + served + ", not served " + notServed + ", lost " + lost + ", slowest " + slowestMs + " ms";
    }
}
