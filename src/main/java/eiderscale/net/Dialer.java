package eiderscale.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;

/**
 * Opens connections on the one event loop. Netty's own bootstrap reports a socket that could not be made on a thread
 * of its own, with a channel that cannot even be closed; here that is an exception of the call.
 */
final class Dialer {
    /** What is written late tells a deadline that is too long, and may reach a host that drains. */
    private static final RetryingSocketChannel.RetryTimeouts LIMITS =
            new RetryingSocketChannel.RetryTimeouts(100 * Clock.MILLISECOND, 20 * Clock.MILLISECOND);

    private final EventLoop loop;
    private final Counters counters;

    Dialer(EventLoop loop, Counters counters) {
        this.loop = loop;
        this.counters = counters;
    }

    /**
     * Begins to connect. The future may be done at once, and is told on the loop; where it fails the channel has been
     * closed. {@code timeoutMs}: time for the connection to come up, at least 1.
     *
     * @throws NoSocketException if this machine has no socket for it
     */
    ChannelFuture dial(InetSocketAddress address, int timeoutMs, ChannelHandler... handlers)
            throws NoSocketException {
        if (!loop.inEventLoop()) {
            throw new IllegalStateException("not on the event loop");
        }
        RetryingSocketChannel channel = open();
        channel.config().setConnectTimeoutMillis(timeoutMs);
        channel.pipeline().addLast(handlers);
        ChannelFuture registered = loop.register(channel);
        if (registered.cause() != null) {
            channel.unsafe().closeForcibly();
            throw new NoSocketException(registered.cause());
        }
        ChannelFuture connected = channel.connect(address);
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                channel.close();
            }
        });
        return connected;
    }

    private RetryingSocketChannel open() throws NoSocketException {
        try {
            return new RetryingSocketChannel(LIMITS, counters);
        } catch (RuntimeException e) {
            throw new NoSocketException(e);
        }
    }

    /** Whether a connection failed on this machine: its peer has neither refused it nor left it unanswered. */
    static boolean failedHere(Throwable cause) {
        return !(cause instanceof ConnectException);
    }

    /** The same, but for a peer whose machine may be gone: that none was reached tells of it alone. */
    static boolean tellsNothingOfPeer(Throwable cause) {
        return failedHere(cause) && !(cause instanceof NoRouteToHostException);
    }
}
