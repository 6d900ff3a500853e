import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Sound clients send one read after the other, while some bad peers send much at once. */
final class Case6 {
    private static final int CLIENTS = 60;
    private static final long PAUSE_MS = 400;
    private static final long READ_WAIT_MS = 1_500;
    /** A final answer is lost when it comes later than half a second after its time; 50 ms are the sockets' slack. */
    private static final long LOST_AFTER_MS = READ_WAIT_MS + 500 + 50;
    private static final long WRITE_WAIT_MS = 5_000;
    /** How long the hosts take for the writes of the bad peers. */
    private static final long LONG_SERVICE_MS = 4_900;
    private static final int PEERS = 10;
    private static final long PEER_INTERVAL_MS = 300;
    /** How long the sound clients go on after the last bad peer has come. */
    private static final long AFTERWARDS_MS = 20_000;

    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger answeredAtEnd = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();
    private static volatile boolean isAtEnd;
    private static volatile boolean isOver;

    private Case6() {
    }

    public static void main(String[] args) throws IOException {
        Kit.main(args, Case6::run);
    }

    private static int run() throws Exception {
        List<Kit.CacheHost> hosts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            hosts.add(new Kit.CacheHost("s-" + i, line -> line.startsWith("ms ") ? LONG_SERVICE_MS : 100));
        }
        Kit.Balancer balancer = new Kit.Balancer(new Kit.Discovery(hosts, Kit.ZONES));
        Kit.checkServes(balancer, 10);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Kit.thread(() -> runClient(balancer, number)));
        }
        Kit.sleep(2_000);
        Kit.record("answered so far " + answered + ", lost " + lost);
        for (int i = 0; i < PEERS; i++) {
            connectPeer(balancer, "hello y\r\n", 600_000);
            Kit.sleep(PEER_INTERVAL_MS);
        }
        connectPeer(balancer, "\n", 700_000);
        Kit.sleep(AFTERWARDS_MS / 2);
        isAtEnd = true;
        Kit.record("answered so far " + answered + ", lost " + lost);
        Kit.sleep(AFTERWARDS_MS / 2);
        isOver = true;
        for (Thread client : clients) {
            client.join();
        }
        Kit.record("the balancer's process " + (balancer.process.isAlive() ? "runs" : "has ended"));
        balancer.recordLog();
        Kit.record("answered " + answered + ", of these in the last " + AFTERWARDS_MS / 2 + " ms " + answeredAtEnd
                + ", lost " + lost);
        return lost.get() > 0 ? Kit.BROKEN : answeredAtEnd.get() > 0 ? Kit.HELD : Kit.COULD_NOT_RUN;
    }

    /** A bad peer: it sends one write and many lines that are no commands, and reads all that comes. */
    private static void connectPeer(Kit.Balancer balancer, String line, int bytes) throws IOException {
        if (!Kit.trouble) {
            return;
        }
        Kit.record("a bad peer connects, sends one write and " + bytes + " bytes in lines of " + line.length()
                + " that are no commands, and reads all that comes");
        Kit.Client peer = new Kit.Client(balancer.port);
        Kit.peers.add(peer);
        String flood = Kit.write(Kit.nextId(), "3001", "hello", WRITE_WAIT_MS) + line.repeat(bytes / line.length());
        Kit.thread(() -> peer.send(flood));
        Kit.thread(() -> {
            InputStream in = peer.socket.getInputStream();
            byte[] buffer = new byte[1 << 16];
            while (in.read(buffer) >= 0) {
                // Read and forgotten.
            }
        });
    }

    /** Sends one read at a time; a read that crosses the connection's end is sent once more on a new connection. */
    private static void runClient(Kit.Balancer balancer, int number) throws IOException {
        Kit.Client connection = new Kit.Client(balancer.port);
        for (int i = 0; !isOver; i++) {
            String id = Kit.nextId();
            String command = Kit.read(id, Integer.toHexString(0x4000 + 64 * i + number), READ_WAIT_MS);
            String answer = null;
            for (int tries = 0; tries < 2 && answer == null; tries++) {
                try {
                    Kit.record("client " + number + " sends " + id);
                    connection.send(command);
                    answer = connection.readAnswer(LOST_AFTER_MS);
                } catch (SocketTimeoutException e) {
                    Kit.record("client " + number + " has NO ANSWER to " + id + " after " + LOST_AFTER_MS
                            + " ms, and its connection is open");
                    lost.incrementAndGet();
                    connection.close();
                    connection = new Kit.Client(balancer.port);
                    break;
                } catch (IOException e) {
                    // As an end of the connection.
                }
                if (answer == null) {
                    Kit.record("client " + number + ": its connection ended before the answer to " + id);
                    connection = new Kit.Client(balancer.port);
                }
            }
            Kit.record("client " + number + " got " + answer + " for " + id);
            answered.addAndGet(answer == null ? 0 : 1);
            answeredAtEnd.addAndGet(answer == null || !isAtEnd ? 0 : 1);
            Kit.sleep(PAUSE_MS);
        }
    }
}
