import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases of the second review share: stand-ins for clients, cache hosts and discovery, the start of the real
 * balancer with the command of the deploy file, and the record of what was sent, answered and run. Everything is on
 * loopback addresses and on the real clock.
 */
final class Kit {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;
    private static final long MAX_RUN_MS = 110_000;
    private static final long START = System.nanoTime();
    private static final AtomicInteger NEXT_ID = new AtomicInteger();
    private static BufferedWriter record;
    static Path root;
    static boolean trouble;
    private static volatile Process balancerProcess;
    /** The balancer's configuration and log. */
    private static volatile Path folder;

    private Kit() {
    }

    /** The body of a case; returns the exit status. */
    interface Case {
        int run() throws Exception;
    }

    /** Runs a case. Arguments: the root of the project, the folder of the case. */
    static void main(String[] args, Case body) throws IOException {
        root = Path.of(args[0]);
        record = Files.newBufferedWriter(Path.of(args[1], "record.txt"));
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record("TROUBLE=" + (trouble ? "1" : "0"));
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::cleanUp));
        thread(() -> {
            sleep(MAX_RUN_MS);
            finish(COULD_NOT_RUN, "the case took too long");
        });
        try {
            int status = body.run();
            finish(status, status == BROKEN ? "the rule was broken" : status == HELD ? "the rule held" : "could not run");
        } catch (Throwable e) {
            e.printStackTrace();
            finish(COULD_NOT_RUN, "could not run: " + e);
        }
    }

    private static synchronized void finish(int status, String text) {
        record(text + ", exit status " + status);
        System.out.println(text);
        cleanUp();
        try {
            record.close();
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(status);
    }

    private static void cleanUp() {
        Process process = balancerProcess;
        if (process != null) {
            process.destroyForcibly();
        }
        try {
            if (folder != null) {
                for (String name : new String[] {"log", "config.json"}) {
                    Files.deleteIfExists(folder.resolve(name));
                }
                Files.deleteIfExists(folder);
            }
        } catch (IOException e) {
            System.err.println("cannot remove the temporary folder: " + e);
        }
    }

    /** Milliseconds since the case began. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void record(String text) {
        try {
            record.write(String.format("%10.1f  %s%n", now(), text));
            record.flush();
        } catch (IOException e) {
            // The record is closed: the case has ended.
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer is gone.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads a line without its CRLF; null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static String nextId() {
        return String.format("%016x", 0x9b1f03aa00000000L + NEXT_ID.incrementAndGet());
    }

    private static final String[] TENANTS = {"harbourline", "tolka-labs", "greenmount", "quayside-apps", "shannonbyte",
        "millrace", "corrib-dev", "liffeyworks", "boglane"};

    /** The tenant of a request: all tenants in turn. */
    private static String tenant(String id) {
        return TENANTS[(int) (Long.parseUnsignedLong(id, 16) & 0xffffff) % TENANTS.length];
    }

    /** A read as a client sends it; its answer is due within {@code waitMs}. */
    static String read(String id, String key, long waitMs) {
        return "mg " + key + " v O" + id + " Pc=query,t=" + tenant(id) + ",d=" + waitMs + "\r\n";
    }

    // Cache hosts.

    /** A command that a cache host got. {@code at}: when its last byte had come, as {@link #now}. */
    record Attempt(double at, String host, String id, String line) {
    }

    /** How a host serves commands. */
    interface Service {
        /** Returns how long the host takes for a command, in ms. */
        long takesMs(String line);

        /** Whether the host resets the connection instead of serving the request; may wait before. */
        default boolean resets(String id) {
            return false;
        }

        /** Returns the value that the host has for a read. */
        default String value(String line) {
            return "hello";
        }
    }

    /** All commands that all hosts got. */
    static final List<Attempt> attempts = new CopyOnWriteArrayList<>();

    /** A sound cache host: serves every command after a time. */
    static final class CacheHost {
        final String name;
        final ServerSocket server;
        private final Service service;

        CacheHost(String name, Service service) throws IOException {
            this.name = name;
            this.service = service;
            server = new ServerSocket(0, 1000, InetAddress.getLoopbackAddress());
            thread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    thread(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (String line = readLine(in); line != null; line = readLine(in)) {
                    String[] words = line.split(" ");
                    if (words[0].equals("ms")) {
                        in.readNBytes(Integer.parseInt(words[2]) + 2);
                    }
                    String id = "";
                    for (String word : words) {
                        id = word.startsWith("O") ? word.substring(1) : id;
                    }
                    attempts.add(new Attempt(now(), name, id, line));
                    Kit.record("host " + name + " runs " + line);
                    if (service.resets(id)) {
                        Kit.record("host " + name + " resets the connection under " + id);
                        socket.setSoLinger(true, 0);
                        return;
                    }
                    sleep(service.takesMs(line));
                    String value = service.value(line);
                    out.write(bytes(words[0].equals("ms") ? "HD O" + id + " c77\r\n"
                            : "VA " + value.length() + " O" + id + " h1\r\n" + value + "\r\n"));
                }
            }
        }
    }

    // Discovery.

    /** Discovery with a list that does not change while the case runs. */
    static final class Discovery {
        private static final Pattern SINCE = Pattern.compile("since=(\\d+)");
        private static final Pattern TIMEOUT = Pattern.compile("timeout_ms=(\\d+)");
        final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        private final Map<String, String> targets = new LinkedHashMap<>();
        private static final int REVISION = 41;

        Discovery(List<CacheHost> hosts, String[] zones) throws IOException {
            for (int i = 0; i < hosts.size(); i++) {
                targets.put("s-" + i, "{\"uid\":\"s-" + i + "\",\"endpoint\":\"127.0.0.1:"
                        + hosts.get(i).server.getLocalPort() + "\",\"az\":\"" + zones[i % zones.length]
                        + "\",\"model\":\"gen3\",\"pod_group\":" + i % zones.length
                        + ",\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}");
            }
            thread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    thread(() -> answer(socket));
                }
            });
        }

        String fullList() {
            return "{\"rev\":" + REVISION + ",\"all\":true,\"targets\":[" + String.join(",", targets.values()) + "]}";
        }

        private void answer(Socket socket) throws IOException {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String request = readLine(in);
                for (String line = request; line != null && !line.isEmpty(); ) {
                    line = readLine(in);
                }
                Matcher since = SINCE.matcher(String.valueOf(request));
                Matcher timeout = TIMEOUT.matcher(String.valueOf(request));
                String body = fullList();
                if (since.find() && Integer.parseInt(since.group(1)) >= REVISION) {
                    sleep(timeout.find() ? Long.parseLong(timeout.group(1)) : 0);
                    body = "{\"rev\":" + REVISION + ",\"all\":false,\"targets\":[]}";
                }
                socket.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body));
            }
        }
    }

    // The balancer.

    static final String[] ZONES = {"dublin", "cork", "galway"};
    static final int SOCKETS = 384;

    /** The example settings of the wire page, for a balancer of three. */
    private static final String SETTINGS = """
            {"callers":{"marks-retry":false},
             "categories":[
              {"name":"query","deadline-ns":1500000000,"effect":"retryable","goal-time-ns":750000000,"group":"all",
               "late-worth":0.25,"stream":false,"window-ns":5000000000,"worth":2.0},
              {"name":"index-push","deadline-ns":5000000000,"effect":"dedup","goal-time-ns":1500000000,"group":"all",
               "late-worth":0.3,"stream":false,"window-ns":25000000000,"worth":3.0}],
             "ceilings":{"cancelling":true,"conn-idle-ns":10000000000,"connect-timeout-ns":250000000,
              "cpu-us-per-request":0.0,"cpu-us-per-s":400000,"max-attempts":5,"max-open":20000,
              "max-retry-after-ns":2000000000,"may-duplicate":true,"multiplex":100,"peer-messages":false,
              "probing":true,"retry-after":false},
             "counted-by":"work","discovery":"subscribe",
             "family-info":{"mode":"through","origin-fall-multiple":0.0,"origin-fall-ns":3000000000,"origin-kind":-1},
             "guarantees":{"answer-slack-ns":20000000,"ask-within-ns":10000000000,"cold-from":0.31,
              "fall-ns":1500000000,"stop-sending-within-ns":500000000,"tip-multiple":3.0,
              "warm-within-ns":8100000000},
             "kinds":["gen3","gen2"],"load-report":{"fields":["q","fail_rate","x1"],"source":"none"},"my-zone":0,
             "n-instances":3,"over-share-worth":0.2,"rank":1,"stages":["search-cache"],
             "tenants":[{"name":"harbourline","allowance-per-s":30.0,"fraction":0.18},
              {"name":"tolka-labs","allowance-per-s":23.0,"fraction":0.14},
              {"name":"greenmount","allowance-per-s":23.0,"fraction":0.14},
              {"name":"quayside-apps","allowance-per-s":20.0,"fraction":0.12},
              {"name":"shannonbyte","allowance-per-s":18.0,"fraction":0.11},
              {"name":"millrace","allowance-per-s":18.0,"fraction":0.11},
              {"name":"corrib-dev","allowance-per-s":15.0,"fraction":0.09},
              {"name":"liffeyworks","allowance-per-s":11.0,"fraction":0.07},
              {"name":"boglane","allowance-per-s":7.0,"fraction":0.04}],
             "tick-ns":5000000,"tier":0,"weights":"nominal","workload":"cache","zones":["dublin","cork","galway"]}""";

    /** The real balancer, as a process of its own. */
    static final class Balancer {
        private static final Pattern HELD = Pattern.compile("shed \\d+ held-kb \\d+ dropped-values \\d+");
        final int port;
        final Process process;
        private final Path log;

        /** Starts the program with the command of the deploy file, and waits until it answers {@code mn}. */
        Balancer(Discovery discovery) throws Exception {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
            folder = Files.createTempDirectory("review");
            log = folder.resolve("log");
            Path config = folder.resolve("config.json");
            String discoveryAddress = "127.0.0.1:" + discovery.server.getLocalPort();
            Files.writeString(config, "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                    + discoveryAddress + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                    + "\"memory_mb\":144,\"sockets\":" + SOCKETS + "},\"known\":" + discovery.fullList()
                    + ",\"settings\":" + SETTINGS + "}");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
            builder.directory(root.toFile());
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            builder.environment().putAll(Map.of("GW_NAME", "n1", "GW_LISTEN", "127.0.0.1:" + port, "GW_DISCOVERY",
                    discoveryAddress, "GW_CONFIG", config.toString(), "TMPDIR", folder.toString()));
            process = builder.start();
            balancerProcess = process;
            double deadline = now() + 30_000;
            while (true) {
                try (Client probe = new Client(port)) {
                    probe.send("mn\r\n");
                    if ("MN".equals(probe.readAnswer(2_000))) {
                        break;
                    }
                } catch (IOException e) {
                    if (now() > deadline || !process.isAlive()) {
                        throw new IOException("the balancer does not start");
                    }
                }
                sleep(50);
            }
            Kit.record("the balancer is ready");
        }

        void signal(String name) throws Exception {
            Kit.record("SIG" + name + " to the balancer");
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }

        /** Copies the balancer's log, without its long lines of figures, to the record. */
        void recordLog() throws IOException {
            String last = "";
            int repeated = 0;
            for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
                Matcher held = HELD.matcher(line);
                String text = line.contains(" taken ") && held.find() ? "... " + held.group() + " ..." : line;
                if (text.equals(last)) {
                    repeated++;
                    continue;
                }
                if (repeated > 0) {
                    Kit.record("log: the same " + repeated + " times more");
                }
                Kit.record("log: " + text);
                last = text;
                repeated = 0;
            }
            if (repeated > 0) {
                Kit.record("log: the same " + repeated + " times more");
            }
        }
    }

    private static String deployCommand(String name) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(name + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new IOException("the deploy file has no " + name);
    }

    // Clients.

    /** A client connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(bytes(text));
            socket.getOutputStream().flush();
        }

        /**
         * Returns the first line of the next answer, whose value is read too; null if the connection has ended.
         *
         * @throws SocketTimeoutException if no answer comes in time
         */
        String readAnswer(double timeoutMs) throws IOException {
            socket.setSoTimeout((int) Math.max(1, timeoutMs));
            try {
                String line = readLine(in);
                if (line != null && line.startsWith("VA ")) {
                    in.readNBytes(Integer.parseInt(line.split(" ")[1]) + 2);
                }
                return line;
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                return null;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A write as a client sends it; its answer is due within {@code waitMs}. */
    static String write(String id, String key, String value, long waitMs) {
        return "ms " + key + " " + value.length() + " O" + id + " Pc=index-push,t=" + tenant(id) + ",d=" + waitMs + ",k=" + id
                + "\r\n" + value + "\r\n";
    }

    /** Keeps the connections of the bad peers open. */
    static final List<Client> peers = new ArrayList<>();

    /**
     * A peer that sends one request and much right behind it that is no request, and reads nothing. Returns after a
     * while, in which the balancer has taken it in.
     */
    static void connectFloodingPeer(Balancer balancer, String junk, int junkBytes, String key) throws IOException {
        Client peer = new Client(balancer.port);
        peers.add(peer);
        record("a bad peer connects, sends one read and " + junkBytes + " bytes of empty lines"
                + ", and reads nothing");
        String flood = read(nextId(), key, 1_500) + junk.repeat(junkBytes / junk.length());
        thread(() -> peer.send(flood));
        sleep(2_000);
    }

    /**
     * Two flooding peers, which make the balancer hold between 80 and 100 percent of the memory that it allows itself for
     * its peers: so much that it takes in no more input than it must, and not so much that it refuses requests for that.
     */
    static void useUpMemory(Balancer balancer) throws IOException {
        connectFloodingPeer(balancer, "\n\r\n", 700_000, "51060001");
        connectFloodingPeer(balancer, "\n", 700_000, "51060002");
    }

    /** How long a host takes for a read: longer for those of the flooding peers. */
    static long serviceMs(String line, long usualMs) {
        return line.contains(" 5106") ? 1_000 : usualMs;
    }

    /** Peers that connect and send nothing. */
    static void connectSilentPeers(Balancer balancer, int count) throws IOException {
        record(count + " bad peers connect and send nothing");
        for (int i = 0; i < count; i++) {
            peers.add(new Client(balancer.port));
        }
    }

    /** Sends some reads one after the other; throws if they are not served, as the case then shows nothing. */
    static void checkServes(Balancer balancer, int count) throws IOException {
        Set<String> answers = ConcurrentHashMap.newKeySet();
        try (Client client = new Client(balancer.port)) {
            for (int i = 0; i < count; i++) {
                client.send(read(nextId(), Integer.toHexString(0x1000 + i), 1_500));
                answers.add(String.valueOf(client.readAnswer(3_000)).split(" ")[0]);
            }
        }
        if (!answers.equals(Set.of("VA"))) {
            throw new IOException("the balancer does not serve: " + answers);
        }
    }
}
