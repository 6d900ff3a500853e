package eiderscale.net;

import eiderscale.Router;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Warm-up: runs a balancer on loopback against cache hosts, clients and a discovery of its own.
 *
 * <p>The build runs it to archive the classes that it loads ({@code -XX:ArchiveClassesAtExit}). The program runs it
 * before it listens, so that the JIT compiler has compiled the most frequently executed code. Otherwise the first
 * clients, which all connect at once, would wait for the JIT compiler on a small share of a core, and the event loop
 * would run late. If few requests are expected, the program skips it, as clients then gain more from a start that is a
 * second faster.
 */
public final class WarmUp {
    /** Maximum rounds of clients that connect, send requests and disconnect: enough for most code to be compiled. */
    private static final int MAX_ROUNDS = 4;
    private static final int CLIENTS_PER_ROUND = 12;
    private static final int MIN_ROUNDS = 1;
    /** Time within which rounds beyond {@link #MIN_ROUNDS} may start: a restarted balancer must soon serve again. */
    private static final long MAX_ROUND_START_DELAY_NS = 700 * Clock.MILLISECOND;
    /** CPU time of a request in the first second after a start, in core seconds, while little code is compiled. */
    private static final double COLD_REQUEST_CORE_SECONDS = 0.002;
    /** One in this many of a round's second reads is slow, to exercise hedged requests and their cancellation. */
    private static final int READS_PER_SLOW_READ = 3;
    private static final int SLOW_READ_DELAY_MS = 15;
    private static final int IO_TIMEOUT_MS = 20_000;
    private static final String CONFIG = """
            {"name":"rehearsal","listen":"127.0.0.1:0","discovery":"127.0.0.1:%1$d","seed":"1",
             "known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:%2$d","az":"a",
               "model":"m","pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0},
               {"uid":"s-2","endpoint":"127.0.0.1:%2$d","az":"a",
               "model":"m","pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0}]},
             "settings":{"categories":[
                 {"name":"read","effect":"retryable","goal-time-ns":20000000000,"deadline-ns":20000000000},
                 {"name":"copy","effect":"fragile","goal-time-ns":20000000000,"deadline-ns":20000000000}],
               "tenants":[{"name":"t","allowance-per-s":1000.0,"fraction":1.0}],
               "zones":["a"],"kinds":["m"],"discovery":"subscribe","load-report":{"fields":["busy"]},
               "guarantees":{"ask-within-ns":1000000},
               "ceilings":{"max-attempts":4,"may-duplicate":true,"cancelling":true,"retry-after":true}}}
            """;

    /** Produces the responses of a server. */
    private interface Responder {
        /** Returns the response to a line that was received, or null for none. */
        String respond(String line);
    }

    private WarmUp() {
    }

    /** Runs only the warm-up, for the build. Takes no arguments; exits with 1 if a reply was wrong. */
    public static void main(String[] args) throws Exception {
        ClassPreloader.load();
        int wrongReplies = execute();
        Counters.log("warm-up done, wrong answers: " + wrongReplies);
        System.exit(wrongReplies == 0 ? 0 : 1);
    }

    /**
     * Whether the requests that tenants may send to this balancer would overload its cores before the code is compiled;
     * true if no allowance is configured.
     */
    static boolean isNeeded(Config config) {
        return config.allowedRequestsPerSecond() == 0
                || config.allowedRequestsPerSecond() * COLD_REQUEST_CORE_SECONDS > config.cores();
    }

    /** Runs the warm-up and returns how many commands did not get the expected reply. */
    static int execute() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        EventLoop loop = group.next();
        try (ServerSocket discovery = startServer(WarmUp::respondAsDiscovery);
                ServerSocket host = startServer(WarmUp::respondAsHost)) {
            byte[] json = String.format(CONFIG, discovery.getLocalPort(), host.getLocalPort())
                    .getBytes(StandardCharsets.UTF_8);
            Config config = Config.parse(Json.parse(json));
            Node node = loop.submit(() -> new Node(config, loop, Router::new)).get();
            InetSocketAddress balancerAddress = (InetSocketAddress) loop.submit(node::startListening).get().sync()
                    .channel().localAddress();
            long roundStartDeadline = Clock.now() + MAX_ROUND_START_DELAY_NS;
            int wrongReplies = runSingleCommands(balancerAddress);
            for (int i = 0; i < MAX_ROUNDS && (i < MIN_ROUNDS || Clock.now() < roundStartDeadline); i++) {
                wrongReplies += runRound(balancerAddress);
            }
            return wrongReplies;
        } finally {
            group.shutdownGracefully(0, IO_TIMEOUT_MS, TimeUnit.MILLISECONDS).sync();
        }
    }

    /** Sends single commands, among them an invalid one and a read that the cache host does not respond to. */
    private static int runSingleCommands(InetSocketAddress balancerAddress) throws IOException {
        try (Client client = new Client(balancerAddress)) {
            return client.sendAndExpect("mn", "MN") + client.sendAndExpect("nonsense", "ERROR")
                    + client.sendAndExpect("ms 5 1 O5 Pc=copy,t=t,d=20000\r\nx", "HD O5 c1")
                    + client.sendAndExpect("mg silent v O6 Pc=read,t=t,d=60", "SERVER_ERROR busy");
        }
    }

    /** Connects several clients, each of which sends a read, a write and another read, concurrently with the others. */
    private static int runRound(InetSocketAddress balancerAddress) throws IOException {
        List<Client> clients = new ArrayList<>();
        int wrongReplies = 0;
        try {
            for (int i = 0; i < CLIENTS_PER_ROUND; i++) {
                clients.add(new Client(balancerAddress));
                clients.get(i).send("mg " + i + " v O7 Pc=read,t=t,d=20000,h=5000");
            }
            for (Client client : clients) {
                wrongReplies += client.expect("VA 1 O7");
                client.send("ms 5 1 O5 Pc=copy,t=t,d=20000\r\nx");
            }
            for (int i = 0; i < CLIENTS_PER_ROUND; i++) {
                wrongReplies += clients.get(i).expect("HD O5 c1");
                clients.get(i).send("mg " + (i % READS_PER_SLOW_READ == 0 ? "slow" : i) + " v O7 Pc=read,t=t,d=20000");
            }
            for (Client client : clients) {
                wrongReplies += client.expect("VA 1 O7");
            }
        } finally {
            for (Client client : clients) {
                client.close();
            }
        }
        return wrongReplies;
    }

    /** A client connection. */
    private static final class Client implements AutoCloseable {
        private final Socket socket;
        private final BufferedReader in;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(IO_TIMEOUT_MS);
            in = newReader(socket);
        }

        void send(String command) throws IOException {
            socket.getOutputStream().write((command + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Returns 0 if the next reply is the expected one, else 1. */
        int expect(String expectedReply) throws IOException {
            String line = in.readLine();
            if (line != null && line.startsWith("VA")) {
                in.readLine();
            }
            return expectedReply.equals(line) ? 0 : 1;
        }

        int sendAndExpect(String command, String expectedReply) throws IOException {
            send(command);
            return expect(expectedReply);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static String respondAsHost(String command) {
        if (command.startsWith("mg silent") || !command.startsWith("m")) {
            return null;
        }
        if (command.startsWith("mg slow")) {
            LockSupport.parkNanos(SLOW_READ_DELAY_MS * Clock.MILLISECOND);
        }
        return command.startsWith("mg") ? "VA 1 O7 h1 Lutil=0.5\r\nv\r\n" : "HD O5 c1\r\n";
    }

    private static String respondAsDiscovery(String line) {
        String json = "{\"rev\":2,\"all\":false,\"targets\":[]}";
        return line.isEmpty() ? "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json : null;
    }

    private static BufferedReader newReader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static ServerSocket startServer(Responder responder) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    startThread(() -> serveConnection(socket, responder));
                } catch (IOException e) {
                    // The server socket was closed, or the call failed temporarily.
                }
            }
        });
        return server;
    }

    private static void serveConnection(Socket socket, Responder responder) throws IOException {
        try (socket) {
            BufferedReader in = newReader(socket);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String response = responder.respond(line);
                if (response != null) {
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        }
    }

    /** The work of a thread, which ends if a call fails. */
    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
