package eiderscale.net;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/**
 * A client's request with its attempts and its reply. It is kept until the reply has been sent and the last attempt has
 * an outcome, which may come after the reply. Used on the event loop only.
 */
final class Exchange {
    /** Receives the final reply to a request, once. */
    interface ReplyHandler {
        /**
         * Sends the reply to the client.
         *
         * @param line the reply line with its CRLF
         * @param data the data block without its CRLF, or null
         */
        void reply(String line, byte[] data);

        /** Whether the client may have disconnected without that being seen: nothing may be started for it then. */
        default boolean mayClientHaveLeft() {
            return false;
        }
    }

    /** Identifies the request to the decision module. */
    final long id;
    final Command command;
    /** Latest time for the reply, in nanoseconds of {@link Clock}. */
    final long deadline;
    /** All attempts so far, completed ones included. */
    final List<Attempt> attempts = new ArrayList<>(2);
    private final ReplyHandler replyHandler;
    /** Attempts whose outcome has not been reported to the decision module. */
    int pendingAttempts;
    /** Whether the reply was sent or the client has disconnected; from then on no further attempts are sent. */
    boolean isClosed;
    /** Whether a completed attempt may have been executed by its cache host. */
    boolean mayHaveRun;
    /** Closes the request shortly after its deadline if it is still open then. */
    Future<?> deadlineTimer;

    Exchange(long id, Command command, long deadline, ReplyHandler replyHandler) {
        this.id = id;
        this.command = command;
        this.deadline = deadline;
        this.replyHandler = replyHandler;
    }

    /** Closes the request. Returns true on the first call only, so that at most one reply is sent. */
    boolean close() {
        boolean isFirstClose = !isClosed;
        isClosed = true;
        cancelDeadlineTimer();
        return isFirstClose;
    }

    /** Sends the final reply, unless the request is closed already. If that fails, the request is still open. */
    void reply(String line, byte[] data) {
        if (isClosed) {
            return;
        }
        isClosed = true;
        boolean isReplied = false;
        try {
            replyHandler.reply(line, data);
            isReplied = true;
        } finally {
            isClosed = isReplied;
        }
        cancelDeadlineTimer();
    }

    /** Whether the client may have disconnected without that being seen: no attempt may begin then. */
    boolean mayClientHaveLeft() {
        return replyHandler.mayClientHaveLeft();
    }

    private void cancelDeadlineTimer() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }
}
