package eiderscale.net;

import eiderscale.Router;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Test fixture: a configuration that a test may modify through the fields, and a balancer that runs with it in this
 * process, on an ephemeral loopback port. Can also supply the configuration of a {@link BalancerProcess}.
 */
final class BalancerFixture implements AutoCloseable {
    /** A read: class "read", idempotent. */
    static final String READ = "mg 7f3a9c21e0b4d655 v O1 Pc=read,t=acme,d=5000";
    /** A write that must not be executed twice: class "copy", with its value. */
    static final String NON_IDEMPOTENT_WRITE = "ms 7f3a9c21e0b4d655 5 O2 Pc=copy,t=acme,d=5000\r\nhello";
    /** A write that the hosts deduplicate by its key {@code k}: class "put", with its value. */
    static final String DEDUPLICATED_WRITE = "ms 7f3a9c21e0b4d655 5 O3 Pc=put,t=acme,d=5000,k=5c0f6e1a\r\nhello";

    /** Filled in by {@link #settingsJson}. */
    private static final String SETTINGS_TEMPLATE = """
            {"categories":[
              {"name":"read","effect":"retryable","group":"all","goal-time-ns":5000000000,
               "deadline-ns":%1$d000000,"late-worth":0.5,"window-ns":5000000000},
              {"name":"copy","effect":"fragile","group":"all","goal-time-ns":5000000000,
               "deadline-ns":%1$d000000,"late-worth":0.5,"window-ns":5000000000},
              {"name":"put","effect":"dedup","group":"all","goal-time-ns":5000000000,
               "deadline-ns":%1$d000000,"late-worth":0.5,"window-ns":5000000000}],
             "tenants":[{"name":"acme","allowance-per-s":%6$d,"fraction":1.0}],
             "zones":["a","b"],"kinds":["m1"],"my-zone":0,"n-instances":1,"rank":0,
             "ceilings":{"cancelling":%8$b,"conn-idle-ns":%2$d000000,"connect-timeout-ns":%3$d000000,
               "max-attempts":4,"max-open":%4$d,"max-retry-after-ns":2000000000,"may-duplicate":true,
               "multiplex":1,"retry-after":true},
             "discovery":"%7$s","load-report":{"fields":["busy"],"source":"answers"},
             "guarantees":{"ask-within-ns":2000000,"cold-from":0.2,"fall-ns":2000000000,
               "stop-sending-within-ns":%5$d,"tip-multiple":4.0,"warm-within-ns":20000000000}}
            """;

    /** The cache hosts, all ready. Closed with the fixture. */
    final List<FakeHost> hosts = new ArrayList<>();
    /** Further entries of the initial host list, as made by {@link #targetJson}. */
    final List<String> extraTargetsJson = new ArrayList<>();
    /** Revision of the initial host list. */
    int initialRevision = 7;
    /** Deadline of all request classes ({@code deadline-ns}). */
    long requestDeadlineMs = 10_000;
    /** How long the hosts keep idle connections ({@code conn-idle-ns}). */
    long hostIdleTimeoutMs = 30_000;
    long connectTimeoutMs = 5_000;
    /** Maximum number of open requests ({@code max-open}). */
    int maxOpenRequests = 1_000;
    /** How long after a host starts to drain it may still get requests ({@code stop-sending-within-ns}). */
    long drainGraceMs = 1_000;
    /** Limit of sockets, shared among clients and hosts. */
    int maxSockets = 1024;
    /** The tenant's allowance. */
    int allowedRequestsPerSecond = 100_000;
    /** How the host list is watched: "subscribe" once the decision module subscribes, "automatic" from the start. */
    String discoveryMode = "subscribe";
    /** Whether the balancer may abandon attempts that have been sent ({@code cancelling}). */
    boolean mayCancelAttempts = true;
    /** Address of discovery; by default one where nothing listens. */
    String discoveryEndpoint = "127.0.0.1:1";
    /** Memory that the balancer holds for its peers at most, in bytes. */
    long memoryBudgetBytes = 20L * 1024 * 1024;
    Balancer.ModuleFactory moduleFactory = Router::new;
    /** The running balancer, null until {@link #start}. */
    Node node;
    /** The thread on which the methods of {@link #node} must be called. */
    EventLoop eventLoop;
    private NioEventLoopGroup eventLoopGroup;
    private InetSocketAddress listenAddress;

    BalancerFixture(FakeHost... hosts) {
        this.hosts.addAll(List.of(hosts));
    }

    /** An entry of the host list in discovery's format. */
    static String targetJson(String uid, String endpoint, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"a\",\"model\":\"m1\","
                + "\"pod_group\":1,\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    String settingsJson() {
        return String.format(Locale.ROOT, SETTINGS_TEMPLATE, requestDeadlineMs, hostIdleTimeoutMs, connectTimeoutMs,
                maxOpenRequests, drainGraceMs * Clock.MILLISECOND, allowedRequestsPerSecond, discoveryMode,
                mayCancelAttempts);
    }

    /** The configuration file: the hosts and settings of this fixture, and the address to listen on. */
    String configJson(String listenEndpoint) {
        List<String> targets = new ArrayList<>(extraTargetsJson);
        for (FakeHost host : hosts) {
            targets.add(targetJson("s-" + targets.size(), host.endpoint(), "Ready"));
        }
        return "{\"name\":\"n1\",\"listen\":\"" + listenEndpoint + "\",\"discovery\":\"" + discoveryEndpoint
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                + maxSockets + "},\"known\":{\"rev\":" + initialRevision + ",\"all\":true,\"targets\":["
                + String.join(",", targets) + "]},\"settings\":" + settingsJson() + "}";
    }

    SiteSettings siteSettings() {
        return new SiteSettings(Json.parse(settingsJson().getBytes(StandardCharsets.UTF_8)));
    }

    /** Starts the balancer and waits until it listens. */
    BalancerFixture start() throws Exception {
        eventLoopGroup = new NioEventLoopGroup(1);
        eventLoop = eventLoopGroup.next();
        Config config = Config.parse(Json.parse(configJson("127.0.0.1:0").getBytes(StandardCharsets.UTF_8)));
        node = eventLoop.submit(() -> new Node(config, eventLoop, moduleFactory,
                new MemoryBudget(memoryBudgetBytes))).get();
        listenAddress =
                (InetSocketAddress) eventLoop.submit(node::startListening).get().sync().channel().localAddress();
        return this;
    }

    /** Connects a client to the running balancer. */
    LineSocket connectClient() throws IOException {
        return new LineSocket(new Socket(InetAddress.getLoopbackAddress(), listenAddress.getPort()));
    }

    /** Connects a client with a small receive buffer, for tests that leave replies unread. */
    LineSocket connectClientWithSmallBuffer() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4096);
        socket.connect(listenAddress);
        return new LineSocket(socket);
    }

    @Override
    public void close() throws IOException {
        if (eventLoopGroup != null) {
            eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
        for (FakeHost host : hosts) {
            host.close();
        }
    }
}
