package eiderscale.net;

import eiderscale.Api.ListMode;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Discovery client: watches the list of cache hosts with HTTP long polls, each from the last known revision.
 *
 * <p>With the setting {@code "discovery": "subscribe"} a watch runs from the decision module's subscription until a
 * call fails. Otherwise (automatic mode) it runs from the start and is retried after failures, as the deployment then
 * expects the balancer to know every change, whether or not a watch is open.
 *
 * <p>After a response timeout, a change of discovery's address or a failure on this machine, fast retry applies for
 * {@link #FAST_RETRY_PERIOD_NS}: failed calls are retried without involving the decision module, and the long-poll
 * timeout is shorter.
 *
 * <p>All methods must be called on the event loop.
 */
final class Discovery {
    /** Receives every list in the order of arrival. */
    interface Listener {
        /**
         * Handles a list. {@link ListMode#FAILED} means that the watch has ended; the decision module decides when to
         * subscribe again.
         */
        void onHostList(ListMode mode, List<HostList.Member> members);
    }

    /**
     * Long-poll timeout: how long discovery may hold a call while nothing changes. If a watch stops responding, the
     * balancer is expected to know a change that it missed 6 s later; this timeout and the response grace take 3 s of
     * that, which leaves 3 s for failed calls.
     */
    private static final long POLL_TIMEOUT_MS = 2_000;
    /** Long-poll timeout during fast retry: the next unresponsive call must be detected sooner. */
    private static final long FAST_POLL_TIMEOUT_MS = 500;
    /**
     * Response grace: how long beyond its long-poll timeout a call may take before it times out. Discovery may queue a
     * call for up to 2 s before it handles it.
     */
    private static final long RESPONSE_GRACE_MS = 1_000;
    /** Response grace during fast retry, multiplied by the number of consecutive timeouts up to a maximum. */
    private static final long FAST_RESPONSE_GRACE_MS = 1_700;
    private static final int MAX_RESPONSE_GRACE_FACTOR = 3;
    /**
     * Delay before a failed call is retried without involving the decision module, that is, in automatic mode and
     * during fast retry: the balancer is expected to know the list even if calls fail.
     */
    private static final long RETRY_DELAY_MS = 250;
    /**
     * Duration of fast retry after a response timeout, an address change or a failure on this machine. The balancer is
     * expected to know the list at a new address 4 s after the change.
     */
    private static final long FAST_RETRY_PERIOD_NS = 4 * Clock.SECOND;
    /** Longest wait at startup for the first list, which is expected to be known from the start in automatic mode. */
    private static final long FIRST_LIST_TIMEOUT_MS = 2_000;
    /** Long-poll timeout while the first list is awaited: discovery responds at once even if nothing has changed. */
    private static final long FIRST_POLL_TIMEOUT_MS = 1;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /**
     * Minimum time between the starts of successive calls, which limits their rate if discovery always responds
     * at once. A watch may pause for up to 200 ms between calls.
     */
    private static final long MIN_CALL_INTERVAL_MS = 100;
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    /** Delay before retrying a call that failed on this machine: such calls never reach discovery and cause no load. */
    private static final long LOCAL_FAILURE_RETRY_DELAY_MS = 50;

    /** The state of the watch. */
    private enum State {
        /** There is no watch until the decision module subscribes. */
        RESTING,
        /** The next call is scheduled. */
        WAITING,
        /** A call is in flight until its response arrives, it fails or it times out. */
        CALLING
    }

    private InetSocketAddress address;
    private final SiteSettings site;
    private final EventLoop loop;
    private final Connector connector;
    private final Counters counters;
    private final Listener listener;
    /** Whether the watch runs from the start, without a subscription from the decision module. */
    private final boolean isAutomatic;
    private final Promise<Void> hostListReady;
    private long revision;
    private State state = State.RESTING;
    /** The latest call, null before the first one. */
    private Call call;
    /** The start of the next call; null before the first one. */
    private Future<?> scheduledCall;
    private long callCount;
    /** When the latest list arrived, in nanoseconds of {@link Clock}; 0 if none has. */
    private long lastListAt;
    /** Consecutive calls that timed out; they lengthen the response grace of the next, as discovery may be slow. */
    private int consecutiveTimeouts;
    /** End of fast retry, in which the decision module's backoff would take too long; nanoseconds of {@link Clock}. */
    private long fastRetryEndsAt;

    Discovery(Config config, EventLoop loop, Counters counters, Listener listener) {
        this.address = config.discoveryAddress();
        this.site = config.site();
        this.loop = loop;
        this.connector = new Connector(loop, counters);
        this.counters = counters;
        this.listener = listener;
        this.isAutomatic = !site.settings.mustSubscribe();
        this.hostListReady = loop.newPromise();
        this.revision = config.initialHostList().revision();
    }

    /** Starts the watch in automatic mode, in which the decision module never subscribes. */
    void start() {
        if (isAutomatic) {
            subscribe();
            loop.schedule(() -> hostListReady.trySuccess(null), FIRST_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } else {
            hostListReady.trySuccess(null);
        }
    }

    /**
     * Returns a future that completes once requests may be served with the current host list: on {@link #start} if the
     * decision module subscribes; in automatic mode when the first list arrives, or after
     * {@link #FIRST_LIST_TIMEOUT_MS}.
     */
    Future<Void> hostListReady() {
        return hostListReady;
    }

    /** Starts a watch from the last known revision, unless one is running. */
    void subscribe() {
        if (state == State.RESTING) {
            scheduleCall(0);
        }
    }

    /**
     * Continues the watch from the last known revision at another address, at once, as the old address sends no further
     * updates. Has no effect if the address is the current one.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        Counters.log("discovery address changed to " + newAddress + ", calling it now");
        startFastRetry();
        if (call != null) {
            call.terminate();
        }
        scheduleCall(0);
    }

    /** Returns the state of the watch, for the metrics line. */
    String gauges() {
        return "discovery " + state + " calls " + callCount + " version " + revision + " heard "
                + (lastListAt == 0 ? "never" : (Clock.now() - lastListAt) / Clock.MILLISECOND + " ms ago");
    }

    private void startFastRetry() {
        fastRetryEndsAt = Clock.now() + FAST_RETRY_PERIOD_NS;
    }

    private boolean isFastRetry() {
        return Clock.now() < fastRetryEndsAt;
    }

    private void scheduleCall(long delayMs) {
        state = State.WAITING;
        if (scheduledCall != null) {
            scheduledCall.cancel(false);
        }
        scheduledCall = loop.schedule(this::startCall, delayMs, TimeUnit.MILLISECONDS);
    }

    private void startCall() {
        state = State.CALLING;
        callCount++;
        try {
            call = new Call(callCount);
            call.start();
        } catch (Throwable e) {
            // Without a call in flight or scheduled the watch would never go on.
            Counters.log("cannot start a discovery call", e);
            scheduleCall(LOCAL_FAILURE_RETRY_DELAY_MS);
        }
    }

    /**
     * One long poll, on a connection of its own: if a persistent connection breaks, it is unknown whether discovery has
     * handled the call in flight.
     */
    private final class Call extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final long id;
        private final long startedAt = Clock.now();
        private final boolean isFastRetry = isFastRetry();
        private final long pollTimeoutMs = !hostListReady.isDone() ? FIRST_POLL_TIMEOUT_MS
                : isFastRetry ? FAST_POLL_TIMEOUT_MS : POLL_TIMEOUT_MS;
        private Future<?> responseTimer;
        private Channel channel;
        private boolean hasEnded;

        Call(long id) {
            this.id = id;
        }

        void start() {
            // Started before connecting: a refused connection may fail synchronously, and fail() cancels the timer.
            responseTimer = loop.schedule(this::onResponseTimeout, pollTimeoutMs + responseGraceMs(),
                    TimeUnit.MILLISECONDS);
            try {
                ChannelFuture connected = connector.connect(address, CONNECT_TIMEOUT_MS, new HttpClientCodec(),
                        new HttpObjectAggregator(MAX_RESPONSE_BYTES), this);
                channel = connected.channel();
                connected.addListener(done -> {
                    if (!done.isSuccess()) {
                        fail("cannot connect: " + done.cause().getMessage(), Connector.isLocalFailure(done.cause()));
                    }
                });
            } catch (SocketUnavailableException e) {
                counters.socketFailures++;
                fail("cannot create a socket: " + e.getMessage(), true);
            }
        }

        private long responseGraceMs() {
            return isFastRetry
                    ? FAST_RESPONSE_GRACE_MS * Math.max(1, Math.min(consecutiveTimeouts, MAX_RESPONSE_GRACE_FACTOR))
                    : RESPONSE_GRACE_MS;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/catalog/members?since=" + revision + "&timeout_ms=" + pollTimeoutMs);
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            ctx.close();
            if (hasEnded) {
                return;
            }
            if (!response.status().equals(HttpResponseStatus.OK) || response.decoderResult().isFailure()) {
                fail("HTTP status " + response.status().code(), false);
                return;
            }
            HostList hostList;
            try {
                hostList = HostList.parse(Json.parse(ByteBufUtil.getBytes(response.content())), site);
            } catch (ConfigException e) {
                fail(e.getMessage(), false);
                return;
            }
            markEnded();
            consecutiveTimeouts = 0;
            revision = hostList.revision();
            lastListAt = Clock.now();
            long delayMs = Math.max(0, MIN_CALL_INTERVAL_MS - (Clock.now() - startedAt) / Clock.MILLISECOND);
            scheduleCall(delayMs);
            listener.onHostList(hostList.isFull() ? ListMode.FULL : ListMode.DELTA, hostList.members());
            if (hostListReady.trySuccess(null)) {
                Counters.log("first list: revision " + revision + ", " + describe());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("connection closed before the response was complete", false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(cause.toString(), false);
        }

        private void markEnded() {
            hasEnded = true;
            responseTimer.cancel(false);
        }

        /** Ends the call without notifying the listener; returns false if it had already ended. */
        boolean terminate() {
            if (hasEnded) {
                return false;
            }
            markEnded();
            if (channel != null) {
                channel.close();
            }
            return true;
        }

        /**
         * Calls again at once. The decision module is not notified and keeps its list: to it, an unresponsive watch
         * looks like one without changes.
         */
        private void onResponseTimeout() {
            if (terminate()) {
                Counters.log("discovery call timed out: " + describe());
                consecutiveTimeouts++;
                startFastRetry();
                scheduleCall(0);
            }
        }

        /**
         * Ends the call as failed, and schedules its retry or ends the watch.
         *
         * @param isLocalFailure whether the call did not reach discovery, so that retrying it soon puts no load on it
         */
        private void fail(String reason, boolean isLocalFailure) {
            if (!terminate()) {
                return;
            }
            counters.recordDiscoveryFailure("discovery failed: " + reason + ", " + describe());
            if (isLocalFailure) {
                startFastRetry();
                scheduleCall(LOCAL_FAILURE_RETRY_DELAY_MS);
            } else if (isAutomatic || isFastRetry()) {
                scheduleCall(RETRY_DELAY_MS);
            } else {
                state = State.RESTING;
                listener.onHostList(ListMode.FAILED, List.of());
            }
        }

        private String describe() {
            return "call " + id + " after " + (Clock.now() - startedAt) / Clock.MILLISECOND + " ms, revision "
                    + revision;
        }
    }
}
