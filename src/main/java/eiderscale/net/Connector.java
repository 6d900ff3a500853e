package eiderscale.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;

/**
 * Opens outgoing connections on the event loop, in place of Netty's {@code Bootstrap}. If a socket cannot be created,
 * {@code Bootstrap} reports that on a thread of its own, with a channel that cannot be closed; here the call throws.
 */
final class Connector {
    /**
     * How long reads or writes of a connection may fail before it is closed. The limit for writes is the shorter one: a
     * request that is written late states a remaining wait that is too long, and may reach a host that is draining.
     */
    private static final RetryingSocketChannel.RetryTimeouts RETRY_TIMEOUTS =
            new RetryingSocketChannel.RetryTimeouts(100 * Clock.MILLISECOND, 20 * Clock.MILLISECOND);

    private final EventLoop loop;
    private final Counters counters;

    Connector(EventLoop loop, Counters counters) {
        this.loop = loop;
        this.counters = counters;
    }

    /**
     * Starts to connect. The future may already be complete on return; its listeners are called on the event loop. If
     * it fails, the channel is closed.
     *
     * @param timeoutMs the connect timeout, at least 1
     * @throws SocketUnavailableException if no socket can be created on this machine
     */
    ChannelFuture connect(InetSocketAddress address, int timeoutMs, ChannelHandler... handlers)
            throws SocketUnavailableException {
        if (!loop.inEventLoop()) {
            throw new IllegalStateException("connect must be called on the event loop");
        }
        RetryingSocketChannel channel = openChannel();
        try {
            channel.config().setConnectTimeoutMillis(timeoutMs);
            channel.pipeline().addLast(handlers);
            ChannelFuture registered = loop.register(channel);
            if (registered.cause() != null) {
                throw new SocketUnavailableException(registered.cause());
            }
        } catch (SocketUnavailableException e) {
            channel.unsafe().closeForcibly();
            throw e;
        } catch (Throwable e) {
            channel.unsafe().closeForcibly();
            throw new SocketUnavailableException(e);
        }
        ChannelFuture connected = channel.connect(address);
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                channel.close();
            }
        });
        return connected;
    }

    private RetryingSocketChannel openChannel() throws SocketUnavailableException {
        try {
            return new RetryingSocketChannel(RETRY_TIMEOUTS, counters);
        } catch (RuntimeException | Error e) {
            throw new SocketUnavailableException(e);
        }
    }

    /**
     * Whether connecting failed on this machine, that is, the peer has neither refused the connection nor failed to
     * respond by the connect timeout.
     */
    static boolean isLocalFailure(Throwable cause) {
        return !(cause instanceof ConnectException);
    }

    /**
     * Whether a failure to connect says nothing about the peer. This is a local failure, except for "no route to host":
     * the peer's machine may be down, so that one counts against the peer.
     */
    static boolean isUnrelatedToPeer(Throwable cause) {
        return isLocalFailure(cause) && !(cause instanceof NoRouteToHostException);
    }
}
