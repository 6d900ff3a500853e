package eiderscale.net;

import eiderscale.Router;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

/**
 * The balancer program: reads its configuration, warms up if needed, and serves until SIGTERM. SIGHUP reloads the
 * configuration. Exits with 0 after SIGTERM and with 1 if it cannot start.
 */
public final class Main {
    /** How long each startup step is retried, as its calls may fail temporarily. */
    private static final long START_RETRY_TIMEOUT_NS = 3 * Clock.SECOND;

    /** Longest wait for the warm-up, which may hang if its I/O calls fail; the start must be complete within 10 s. */
    private static final long MAX_WARM_UP_WAIT_MS = 5_000;

    private Main() {
    }

    /** Runs the program. It takes no arguments; the environment variable GW_CONFIG holds the configuration's path. */
    public static void main(String[] args) {
        try {
            String configPath = System.getenv("GW_CONFIG");
            Config config = retryUntilDeadline(() -> Config.read(configPath));
            preloadClasses();
            if (WarmUp.isNeeded(config)) {
                warmUp();
            }
            EventLoop loop = retryUntilDeadline(
                    () -> new NioEventLoopGroup(1, new DefaultThreadFactory("loop")).next());
            loop.terminationFuture().addListener(done -> {
                Counters.log("the event loop has ended unexpectedly");
                Runtime.getRuntime().halt(1);
            });
            Node node = loop.submit(() -> new Node(config, loop, Router::new)).get();
            ConfigReloader reloader = new ConfigReloader(() -> Config.read(configPath),
                    newConfig -> loop.execute(() -> node.reload(newConfig)));
            SighupHandler.install(reloader::reload);
            // A JVM ended by SIGTERM exits with 143; halting at the end of the shutdown hook makes that 0.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, loop), "stop"));
            node.hostListReady().await();
            retryUntilDeadline(() -> loop.submit(node::startListening).get().sync());
            Counters.log(config.name() + " serves on " + config.listenAddress() + " with " + config.describeLimits());
        } catch (ConfigException e) {
            Counters.log(e.getMessage());
            Runtime.getRuntime().halt(1);
        } catch (Exception e) {
            Counters.log("cannot start: " + e);
            Runtime.getRuntime().halt(1);
        }
    }

    private static <T> T retryUntilDeadline(Callable<T> step) throws Exception {
        return new RetryUntilDeadline(START_RETRY_TIMEOUT_NS).execute(step);
    }

    /** Preloads classes. A failure is only logged: the program can still serve as long as class files can be read. */
    private static void preloadClasses() {
        try {
            retryUntilDeadline(() -> {
                ClassPreloader.load();
                return null;
            });
        } catch (Exception e) {
            Counters.log("class preloading failed, loading classes on first use: " + e);
        }
    }

    /** Runs the warm-up. A failure is only logged: without warm-up the program serves more slowly at first. */
    private static void warmUp() throws InterruptedException {
        Thread thread = new Thread(() -> {
            long startedAt = Clock.now();
            try {
                int wrongReplies = WarmUp.execute();
                long durationMs = (Clock.now() - startedAt) / Clock.MILLISECOND;
                Counters.log("warm-up took " + durationMs + " ms, wrong answers: " + wrongReplies);
            } catch (Exception e) {
                Counters.log("warm-up failed", e);
            }
        }, "warm-up");
        thread.setDaemon(true);
        thread.start();
        thread.join(MAX_WARM_UP_WAIT_MS);
        if (thread.isAlive()) {
            Counters.log("warm-up did not finish in time, starting without it");
        }
    }

    /** Stops the balancer gracefully and ends the process. */
    private static void stop(Node node, EventLoop loop) {
        CountDownLatch stopped = new CountDownLatch(1);
        try {
            loop.execute(() -> node.stop().addListener(done -> stopped.countDown()));
        } catch (Throwable e) {
            // The task was queued nevertheless; exiting now would lose the open requests.
            Counters.log("cannot wake up the event loop for the stop: " + e);
        }
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Counters.log("interrupted while waiting for the stop: " + e);
        }
        Runtime.getRuntime().halt(0);
    }
}
