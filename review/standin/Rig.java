import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins for everything around a balancer: discovery, cache hosts and clients. They follow the protocol page; where
 * it is silent they behave like a sound peer. The balancer itself is started with the "run" command of the deploy file.
 */
final class Rig {
    static final long START = System.nanoTime();

    private Rig() {
    }

    static double nowMs() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void sleepMs(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The record of one run. */
    static final class Record implements AutoCloseable {
        private final PrintWriter out;

        Record(String path) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(Path.of(path)));
        }

        synchronized void line(String format, Object... args) {
            out.printf(Locale.ROOT, "%10.1f ms  ", nowMs());
            out.printf(Locale.ROOT, format, args);
            out.println();
        }

        synchronized void both(String format, Object... args) {
            line(format, args);
            System.out.printf(Locale.ROOT, format + "%n", args);
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    static ServerSocket listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
        return socket;
    }

    /** Reads lines that end in CRLF, and data blocks. */
    static final class Input {
        private final InputStream in;

        Input(Socket socket) throws IOException {
            in = new BufferedInputStream(socket.getInputStream(), 65536);
        }

        /** The next line without its CRLF, or null at the end of the stream. */
        String line() throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
            for (int b = in.read(); ; b = in.read()) {
                if (b < 0) {
                    return null;
                }
                if (b == '\n') {
                    String text = bytes.toString(StandardCharsets.ISO_8859_1);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                bytes.write(b);
            }
        }

        /** A data block and its CRLF; null if the stream ends within. */
        byte[] data(int length) throws IOException {
            byte[] data = in.readNBytes(length + 2);
            return data.length < length + 2 ? null : Arrays.copyOf(data, length);
        }
    }

    /** One command that a cache host has read whole. */
    static final class Run {
        final String host;
        final String id;
        final boolean isWrite;
        final double atMs;
        final long toldMs;

        Run(String host, String id, boolean isWrite, double atMs, long toldMs) {
            this.host = host;
            this.id = id;
            this.isWrite = isWrite;
            this.atMs = atMs;
            this.toldMs = toldMs;
        }
    }

    static String flag(String line, char letter) {
        String[] words = line.split(" ");
        for (int i = words[0].startsWith("m") ? 2 : 1; i < words.length; i++) {
            if (!words[i].isEmpty() && words[i].charAt(0) == letter) {
                return words[i].substring(1);
            }
        }
        return "";
    }

    static String parameter(String line, String name) {
        for (String entry : flag(line, 'P').split(",")) {
            if (entry.startsWith(name + "=")) {
                return entry.substring(name.length() + 1);
            }
        }
        return "";
    }

    /**
     * A cache host. While it hangs, it takes connections and commands and says nothing; work whose time has run out in
     * the meantime is dropped.
     */
    static final class Host {
        final String uid;
        final ServerSocket listener;
        final List<Run> runs = new CopyOnWriteArrayList<>();
        final Record record;
        volatile boolean hangs;
        /** Time to serve a read and a write. */
        volatile int readMs = 2;
        volatile int writeMs = 4;
        /** Length of the values that it serves. */
        volatile int valueLength = 16;
        private final Object lock = new Object();

        Host(String uid, Record record) throws IOException {
            this.uid = uid;
            this.record = record;
            listener = listen();
            thread("accept-" + uid, () -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    thread("host-" + uid, () -> serve(socket));
                }
            });
        }

        String endpoint() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        void resume() {
            synchronized (lock) {
                hangs = false;
                lock.notifyAll();
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                Input in = new Input(socket);
                for (String line = in.line(); line != null; line = in.line()) {
                    if (line.equals("mn")) {
                        socket.getOutputStream().write("MN\r\n".getBytes());
                        continue;
                    }
                    boolean isWrite = line.startsWith("ms ");
                    if (isWrite && in.data(Integer.parseInt(line.split(" ")[2])) == null) {
                        return;
                    }
                    double at = nowMs();
                    String id = flag(line, 'O');
                    long told = Long.parseLong(parameter(line, "d"));
                    runs.add(new Run(uid, id, isWrite, at, told));
                    record.line("%s got %s %s, told d=%d%s", uid, isWrite ? "write" : "read", id, told,
                            hangs ? " (hangs)" : "");
                    sleepMs(isWrite ? writeMs : readMs);
                    synchronized (lock) {
                        while (hangs) {
                            lock.wait();
                        }
                    }
                    if (nowMs() - at > told) {
                        continue;
                    }
                    socket.getOutputStream().write(isWrite ? ("HD O" + id + " cr" + id + "\r\n").getBytes()
                            : value(id, valueLength));
                }
            }
        }

        private static byte[] value(String id, int length) {
            byte[] head = ("VA " + length + " O" + id + " h1\r\n").getBytes();
            byte[] bytes = Arrays.copyOf(head, head.length + length + 2);
            Arrays.fill(bytes, head.length, head.length + length, (byte) ('a' + Math.floorMod(id.hashCode(), 26)));
            bytes[bytes.length - 2] = '\r';
            bytes[bytes.length - 1] = '\n';
            return bytes;
        }
    }

    /** Discovery: whole lists, and watches that wait for something newer. */
    static final class Discovery {
        final ServerSocket listener;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private long revision = 41;

        Discovery() throws IOException {
            listener = listen();
            thread("discovery", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    thread("watch", () -> serve(socket));
                }
            });
        }

        String endpoint() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        synchronized void set(Host host, String zone, int cell, String state) {
            entries.put(host.uid, "{\"uid\":\"" + host.uid + "\",\"endpoint\":\"" + host.endpoint() + "\",\"az\":\""
                    + zone + "\",\"model\":\"gen3\",\"pod_group\":" + cell + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":0}");
            revision++;
            notifyAll();
        }

        synchronized String list(long known) {
            boolean isNews = revision > known;
            return "{\"rev\":" + revision + ",\"all\":" + isNews + ",\"targets\":["
                    + (isNews ? String.join(",", entries.values()) : "") + "]}";
        }

        private synchronized String await(long known, long timeoutMs) throws InterruptedException {
            long end = System.nanoTime() + timeoutMs * 1_000_000;
            while (revision <= known && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            return list(known);
        }

        private static long number(String text, String name, long missing) {
            int at = text.indexOf(name + "=");
            return at < 0 ? missing : Long.parseLong(text.substring(at + name.length() + 1).split("[^0-9]")[0]);
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                Input in = new Input(socket);
                String request = in.line();
                for (String line = request; line != null && !line.isEmpty(); ) {
                    line = in.line();
                }
                if (request != null) {
                    String body = await(number(request, "since", 0), number(request, "timeout_ms", 0));
                    socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                            + "\r\nConnection: close\r\n\r\n" + body).getBytes());
                }
            }
        }
    }

    /** The settings of a small deployment like that of the site. */
    static String settings(int balancers) {
        return "{\"callers\":{\"marks-retry\":false},\"categories\":["
                + "{\"name\":\"query\",\"deadline-ns\":1500000000,\"effect\":\"retryable\",\"goal-time-ns\":750000000,"
                + "\"group\":\"all\",\"late-worth\":0.25,\"stream\":false,\"window-ns\":5000000000,\"worth\":2.0},"
                + "{\"name\":\"index-push\",\"deadline-ns\":5000000000,\"effect\":\"dedup\",\"goal-time-ns\":1500000000,"
                + "\"group\":\"all\",\"late-worth\":0.3,\"stream\":false,\"window-ns\":25000000000,\"worth\":3.0}],"
                + "\"ceilings\":{\"cancelling\":true,\"conn-idle-ns\":10000000000,\"connect-timeout-ns\":250000000,"
                + "\"cpu-us-per-s\":400000,\"max-attempts\":5,\"max-open\":20000,\"max-retry-after-ns\":2000000000,"
                + "\"may-duplicate\":true,\"multiplex\":100,\"peer-messages\":false,\"probing\":true,"
                + "\"retry-after\":false},\"counted-by\":\"work\",\"discovery\":\"subscribe\","
                + "\"family-info\":{\"mode\":\"through\",\"origin-kind\":-1},"
                + "\"guarantees\":{\"answer-slack-ns\":20000000,\"ask-within-ns\":10000000000,\"cold-from\":0.31,"
                + "\"fall-ns\":1500000000,\"stop-sending-within-ns\":500000000,\"tip-multiple\":3.0,"
                + "\"warm-within-ns\":8100000000},\"kinds\":[\"gen3\",\"gen2\"],"
                + "\"load-report\":{\"fields\":[\"q\",\"fail_rate\",\"x1\"],\"source\":\"answers\"},\"my-zone\":0,"
                + "\"n-instances\":" + balancers + ",\"over-share-worth\":0.2,\"rank\":0,\"stages\":[\"search-cache\"],"
                + "\"tenants\":[{\"name\":\"harbourline\",\"allowance-per-s\":300.0,\"fraction\":0.5},"
                + "{\"name\":\"tolka-labs\",\"allowance-per-s\":300.0,\"fraction\":0.5}],"
                + "\"tick-ns\":5000000,\"tier\":0,\"weights\":\"nominal\",\"workload\":\"cache\","
                + "\"zones\":[\"dublin\",\"cork\",\"galway\"]}";
    }

    /** A balancer process, started with the "run" command of the deploy file. */
    static final class Balancer implements AutoCloseable {
        final int port;
        final File directory;
        private final Process process;
        private final Record record;
        private final ServerSocket reserved;

        Balancer(Record record, Discovery discovery, String settings) throws Exception {
            this.record = record;
            directory = Files.createTempDirectory("review-balancer").toFile();
            reserved = listen();
            port = reserved.getLocalPort();
            reserved.close();
            Path config = directory.toPath().resolve("config.json");
            Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                    + discovery.endpoint() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                    + "\"memory_mb\":192,\"sockets\":1024},\"known\":" + discovery.list(0) + ",\"settings\":"
                    + settings + "}");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
            builder.environment().put("GW_NAME", "n0");
            builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("GW_DISCOVERY", discovery.endpoint());
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", directory.toString());
            builder.redirectErrorStream(true);
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(this::close));
            thread("log", () -> {
                Input in = null;
                try (var reader = process.inputReader()) {
                    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                        record.line("log: %s", line);
                    }
                }
            });
            awaitReady();
        }

        private static String deployCommand(String name) throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                if (line.startsWith(name + " = \"")) {
                    return line.substring(name.length() + 4, line.length() - 1).replace("\\\"", "\"");
                }
            }
            throw new IOException("the deploy file has no " + name);
        }

        private void awaitReady() throws Exception {
            for (int i = 0; i < 300; i++) {
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    socket.setSoTimeout(1000);
                    socket.getOutputStream().write("mn\r\n".getBytes());
                    if ("MN".equals(new Input(socket).line())) {
                        record.line("the balancer has answered mn");
                        return;
                    }
                } catch (IOException e) {
                    sleepMs(100);
                }
            }
            throw new IOException("the balancer was not ready within 30 s");
        }

        long pid() {
            return process.pid();
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String name) throws Exception {
            record.line("SIG%s to the balancer", name);
            new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
        }

        @Override
        public void close() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
                Files.deleteIfExists(directory.toPath().resolve("config.json"));
                Files.deleteIfExists(directory.toPath());
            } catch (Exception e) {
                // The temporary folder stays.
            }
        }
    }

    /** One request and the answer to it. */
    static final class Request {
        final String id;
        final String command;
        final byte[] value;
        final long waitMs;
        volatile double sentAtMs = -1;
        volatile double answeredAtMs = -1;
        volatile String answer;

        Request(String id, String command, byte[] value, long waitMs) {
            this.id = id;
            this.command = command;
            this.value = value;
            this.waitMs = waitMs;
        }

        boolean isAnswered() {
            return answer != null;
        }
    }

    static final Map<String, Request> REQUESTS = new ConcurrentHashMap<>();
    private static int lastId;

    static synchronized String nextId() {
        return String.format("%016x", 0x9b1f03aa5c7e0000L + ++lastId);
    }

    static Request read(String key, long waitMs) {
        String id = nextId();
        Request request = new Request(id,
                "mg " + key + " v O" + id + " Pc=query,t=harbourline,d=" + waitMs + "\r\n", null, waitMs);
        REQUESTS.put(id, request);
        return request;
    }

    static Request write(String key, long waitMs) {
        String id = nextId();
        Request request = new Request(id, "ms " + key + " 5 O" + id + " Pc=index-push,t=harbourline,d=" + waitMs
                + ",k=5c0f" + id.substring(4) + "\r\n", "hello".getBytes(), waitMs);
        REQUESTS.put(id, request);
        return request;
    }

    /** A client connection on which commands may be sent one behind the other. It reads answers at once. */
    static final class Client implements AutoCloseable {
        final String name;
        final Socket socket;
        final List<Request> sent = new ArrayList<>();
        volatile String end;
        private final Record record;
        private int answered;

        Client(String name, int port, Record record) throws IOException {
            this.name = name;
            this.record = record;
            socket = new Socket("127.0.0.1", port);
            socket.setTcpNoDelay(true);
            thread(name, this::readAnswers);
        }

        /** Writes these commands in one go. */
        void send(List<Request> requests) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (Request request : requests) {
                bytes.writeBytes(request.command.getBytes());
                if (request.value != null) {
                    bytes.writeBytes(request.value);
                    bytes.writeBytes("\r\n".getBytes());
                }
            }
            synchronized (this) {
                sent.addAll(requests);
            }
            socket.getOutputStream().write(bytes.toByteArray());
            double now = nowMs();
            for (Request request : requests) {
                request.sentAtMs = now;
            }
            record.line("%s sent %d commands: %s to %s", name, requests.size(), requests.get(0).id,
                    requests.get(requests.size() - 1).id);
        }

        /** Sends each command when the one before it has its answer. */
        void sendOneByOne(List<Request> requests) throws IOException {
            for (Request request : requests) {
                send(List.of(request));
                while (!request.isAnswered() && end == null) {
                    sleepMs(1);
                }
            }
        }

        private synchronized Request next() {
            return answered < sent.size() ? sent.get(answered++) : null;
        }

        private void readAnswers() {
            try {
                Input in = new Input(socket);
                for (String line = in.line(); line != null; line = in.line()) {
                    if (line.startsWith("VA ") && in.data(Integer.parseInt(line.split(" ")[1])) == null) {
                        break;
                    }
                    Request request = next();
                    if (request == null) {
                        record.line("%s got an answer to nothing: %s", name, line);
                        continue;
                    }
                    request.answeredAtMs = nowMs();
                    request.answer = line;
                    record.line("%s: %s answered after %.0f ms: %s", name, request.id,
                            request.answeredAtMs - request.sentAtMs, line);
                }
                end = "end of stream";
            } catch (IOException e) {
                end = e.getMessage();
            }
            record.line("%s: connection ended by the balancer: %s", name, end);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}
