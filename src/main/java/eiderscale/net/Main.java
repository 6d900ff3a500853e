package eiderscale.net;

import eiderscale.Router;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

/**
 * The balancer program: reads its configuration, warms up where that pays off, and serves until SIGTERM. SIGHUP reloads
 * the configuration. Exits with 0 after SIGTERM and with 1 if it cannot start.
 */
public final class Main {
    /** How long each startup step is retried, as its calls may fail temporarily. */
    private static final long START_RETRY_TIMEOUT_NS = 3 * Clock.SECOND;

    /** A warm-up whose I/O calls fail may hang; the start must be complete within 10 s. */
    private static final long MAX_WARM_UP_WAIT_MS = 5_000;

    private Main() {
    }

    /** Takes no arguments; {@code GW_CONFIG} names the configuration. */
    public static void main(String[] args) {
        try {
            String file = System.getenv("GW_CONFIG");
            Config config = retryUntilDeadline(() -> Config.read(file));
            preloadClasses();
            if (WarmUp.isNeeded(config)) {
                warmUp();
            }
            EventLoop loop = retryUntilDeadline(
                    () -> new NioEventLoopGroup(1, new DefaultThreadFactory("loop")).next());
            Node node = loop.submit(() -> new Node(config, loop, Router::new)).get();
            ConfigReloader reloader = new ConfigReloader(() -> Config.read(file),
                    newConfig -> loop.execute(() -> node.reload(newConfig)));
            SighupHandler.install(reloader::reload);
            // A JVM ended by SIGTERM exits with 143; halting at the end of the shutdown hook makes that 0.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, loop), "stop"));
            node.ready().await();
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

    /** A failure is only logged: the program still serves as long as class files can be read. */
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

    /** A failure is only logged: without warm-up the program serves too, only slowly at first. */
    private static void warmUp() throws InterruptedException {
        Thread thread = new Thread(() -> {
            long startedAt = Clock.now();
            try {
                int wrongAnswers = WarmUp.execute();
                long tookMs = (Clock.now() - startedAt) / Clock.MILLISECOND;
                Counters.log("warm-up took " + tookMs + " ms, wrong answers: " + wrongAnswers);
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

    private static void stop(Node node, EventLoop loop) {
        CountDownLatch stopped = new CountDownLatch(1);
        try {
            loop.execute(() -> node.stop().addListener(done -> stopped.countDown()));
        } catch (Throwable e) {
            // The task has been queued nevertheless; exiting now would lose the open requests.
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
