package eiderscale.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server on an ephemeral loopback port that stands in for a cache host, or for discovery. The test supplies what it
 * does on each connection.
 */
final class FakeHost implements AutoCloseable {
    /** Handles one accepted connection, which is closed when {@code run} returns. Runs on a thread of its own. */
    interface ConnectionScript {
        void run(LineSocket connection) throws IOException;
    }

    /** The responses of a host; {@code to} returns the response to a command, or null to send none. */
    interface Responses {
        String to(String command);
    }

    /** Number of connections accepted so far. */
    final AtomicInteger connectionCount = new AtomicInteger();
    /** Lines of the received commands, in order of arrival; a write's value is appended as {@code " data=..."}. */
    final BlockingQueue<String> receivedCommands = new LinkedBlockingQueue<>();
    /** Gets one element, "end", for each connection that the balancer closes; filled by {@link #responding}. */
    final BlockingQueue<String> closedConnections = new LinkedBlockingQueue<>();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket serverSocket;
    private final Thread acceptThread;

    FakeHost(ConnectionScript script) throws IOException {
        serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        acceptThread = startThread(() -> {
            while (true) {
                Socket socket = serverSocket.accept();
                connectionCount.incrementAndGet();
                openSockets.add(socket);
                startThread(() -> {
                    try (LineSocket connection = new LineSocket(socket)) {
                        script.run(connection);
                    }
                });
            }
        });
    }

    interface IoTask {
        void run() throws IOException;
    }

    static Thread startThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The test has ended, or the script has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A host that sends these responses to the commands it gets. */
    static FakeHost responding(Responses responses) throws IOException {
        FakeHost[] host = new FakeHost[1];
        host[0] = new FakeHost(connection -> {
            String command = host[0].readCommand(connection);
            while (command != null) {
                String response = responses.to(command);
                if (response != null) {
                    connection.write(response);
                }
                command = host[0].readCommand(connection);
            }
            host[0].closedConnections.add("end");
        });
        return host[0];
    }

    /** A host that responds successfully to every command; see {@link #responseTo}. */
    static FakeHost serving() throws IOException {
        return responding(FakeHost::responseTo);
    }

    /** A successful response: to a read its key as the value, to a write the receipt {@code c77}. */
    static String responseTo(String command) {
        String[] words = command.split(" ");
        return words[0].equals("mg") ? valueResponse(command, words[1]) : "HD " + opaqueFlag(command) + " c77\r\n";
    }

    /** Waits for the latch and then responds successfully; returns null if interrupted before. */
    static String responseAfter(CountDownLatch release, String command) {
        try {
            release.await();
            return responseTo(command);
        } catch (InterruptedException e) {
            return null;
        }
    }

    /** The response to a read with this value, including the flags that are meant for balancers. */
    static String valueResponse(String command, String value) {
        return "VA " + value.length() + " " + opaqueFlag(command) + " h1 Lutil=0.5\r\n" + value + "\r\n";
    }

    /** The command's opaque flag ({@code O} and the opaque), which the response must repeat. */
    static String opaqueFlag(String command) {
        for (String word : command.split(" ")) {
            if (word.startsWith("O")) {
                return word;
            }
        }
        return "O";
    }

    /** Reads a command with its value, records it, and returns its line; null at the end of the stream. */
    String readCommand(LineSocket connection) throws IOException {
        String line = connection.readLine();
        if (line != null) {
            String[] words = line.split(" ");
            if (words[0].equals("ms")) {
                line += " data=" + connection.readData(Integer.parseInt(words[2]));
            }
            receivedCommands.add(line);
        }
        return line;
    }

    /** Waits for the next recorded command, removes and returns it; null if none comes in time. */
    String awaitCommand() throws InterruptedException {
        return receivedCommands.poll(LineSocket.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Waits until the balancer closes a connection, and returns "end"; null if it closes none in time. */
    String awaitConnectionClosed() throws InterruptedException {
        return closedConnections.poll(LineSocket.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    String endpoint() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    /** Closes all accepted connections. */
    void closeConnections() throws IOException {
        for (Socket socket = openSockets.poll(); socket != null; socket = openSockets.poll()) {
            socket.close();
        }
    }

    /** Closes the listening socket, so that new connections are refused; accepted ones stay open. */
    void stopListening() throws IOException, InterruptedException {
        serverSocket.close();
        // The kernel keeps the port open until a thread that is blocked in accept has returned.
        acceptThread.join(LineSocket.TIMEOUT_MS);
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
    }
}
