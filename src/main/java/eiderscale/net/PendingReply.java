package eiderscale.net;

/** An entry of a connection's {@link ReplyQueue}: one command and, once complete, its reply. */
final class PendingReply implements Exchange.ReplyHandler {
    private final ReplyQueue queue;
    /** When the last byte of the command was received, in nanoseconds of {@link Clock}. */
    final long receivedAt;
    /** Whether the command is a read, whose reply may hold a value. */
    final boolean isRead;
    /** The request, if the command is one and has been submitted to the balancer; else null. */
    Exchange exchange;
    /** The encoded reply, null until it is complete. */
    EncodedReply reply;
    /** When the reply was complete, in nanoseconds of {@link Clock}. */
    long completedAt;
    /** The neighbours in the queue, null at its ends. */
    PendingReply previous;
    PendingReply next;

    PendingReply(ReplyQueue queue, MetaFrame command, long receivedAt) {
        this.queue = queue;
        this.receivedAt = receivedAt;
        this.isRead = command != null && command.tokenIs(0, "mg");
    }

    @Override
    public void reply(String line, byte[] data) {
        queue.complete(this, line, data);
    }

    @Override
    public boolean mayClientHaveLeft() {
        return queue.mayClientHaveLeft();
    }
}
