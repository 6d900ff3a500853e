package eiderscale.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Accepts client connections. A failed accept call is retried after a short delay, and the listening socket is closed
 * only once no connection can be left in the accept queue because of such a failure. All methods must be called on
 * the event loop.
 */
@ChannelHandler.Sharable
final class Acceptor extends ChannelInboundHandlerAdapter {
    /** Called with each accepted connection before it is registered, to set up its pipeline. */
    interface Listener {
        void onAccepted(ListeningChannel.AcceptedChannel channel);
    }

    private static final int ACCEPT_BACKLOG = 1024;
    private static final int MAX_ACCEPTS_PER_READ = 256;
    private static final int RETRY_DELAY_MS = 5;

    private enum State {
        LISTENING,
        /** An accept call failed and is retried when a timer fires. */
        PAUSED,
        CLOSED
    }

    private final EventLoop loop;
    private final Counters counters;
    private final Listener listener;
    private InetSocketAddress bindAddress;
    private ListeningChannel channel;
    private State state = State.LISTENING;
    private boolean isClosing;

    Acceptor(EventLoop loop, Counters counters, Listener listener) {
        this.loop = loop;
        this.counters = counters;
        this.listener = listener;
    }

    /** Opens and binds the listening socket; may be called again after a failure. */
    ChannelFuture listen(InetSocketAddress bindAddress) {
        this.bindAddress = bindAddress;
        ListeningChannel newChannel = openChannel();
        channel = newChannel;
        loop.register(newChannel);
        ChannelFuture bound = newChannel.bind(bindAddress);
        bound.addListener(done -> {
            if (!done.isSuccess()) {
                newChannel.close();
            }
        });
        return bound;
    }

    private ListeningChannel openChannel() {
        ListeningChannel newChannel = new ListeningChannel(counters);
        try {
            newChannel.config().setOption(ChannelOption.SO_REUSEADDR, true);
            newChannel.config().setBacklog(ACCEPT_BACKLOG);
            // Allows the accept queue to be emptied in one go: to the clients, connections in it are accepted already.
            newChannel.config().setRecvByteBufAllocator(
                    new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_READ));
            newChannel.pipeline().addLast(this);
            return newChannel;
        } catch (RuntimeException e) {
            newChannel.unsafe().closeForcibly();
            throw e;
        }
    }

    /** Closes the listening socket; after a failed accept call, only once the accept queue has been emptied. */
    void close() {
        isClosing = true;
        closeUnlessFailing();
    }

    boolean isClosed() {
        return state == State.CLOSED;
    }

    /** Closes the listening socket if that was requested and no accept call has failed since the queue was empty. */
    private void closeUnlessFailing() {
        if (isClosing && (channel == null || !channel.isFailing())) {
            state = State.CLOSED;
            if (channel != null) {
                channel.close();
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ListeningChannel.AcceptedChannel accepted = (ListeningChannel.AcceptedChannel) message;
        try {
            listener.onAccepted(accepted);
        } catch (Throwable e) {
            accepted.unsafe().closeForcibly();
            throw e;
        }
        loop.register(accepted).addListener(done -> {
            if (!done.isSuccess()) {
                accepted.unsafe().closeForcibly();
            }
        });
    }

    /** Has a new listening socket opened if this one was closed unexpectedly, as no client could connect otherwise. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (!isClosing && !loop.isShuttingDown()) {
            Counters.log("listening socket closed unexpectedly; opening a new one");
            loop.schedule(this::reopen, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Opens a new listening socket; retries after a delay until that succeeds. */
    private void reopen() {
        if (isClosing) {
            state = State.CLOSED;
            return;
        }
        state = State.LISTENING;
        try {
            listen(bindAddress).addListener(bound -> {
                if (!bound.isSuccess()) {
                    loop.schedule(this::reopen, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
                }
            });
        } catch (RuntimeException e) {
            loop.schedule(this::reopen, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        closeUnlessFailing();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        counters.recordAcceptFailure(cause);
        if (state != State.LISTENING) {
            return;
        }
        state = State.PAUSED;
        channel.config().setAutoRead(false);
        loop.schedule(this::resumeAccepting, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void resumeAccepting() {
        if (state == State.PAUSED && channel.isOpen()) {
            state = State.LISTENING;
            channel.config().setAutoRead(true);
            // Called without a selector event: there is none if the queue is empty, and the channel would remain in
            // its failing state.
            channel.acceptPending();
        }
    }
}
