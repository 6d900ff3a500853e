package eiderscale;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/** A minimal embedding of the {@link Router}: two servers, one request, and a clock that the caller drives. */
final class EmbeddingExample {
    private EmbeddingExample() {
    }

    /** Sends one read and returns the id of the server that it went to. */
    static long sendOneRead() {
        Queue<Long> serverIds = new ArrayDeque<>();
        Api.Actions actions = new Api.Actions() {
            @Override
            public void send(long requestId, long serverId, long attemptDeadline) {
                serverIds.add(serverId); // A real caller sends the attempt over one of its connections.
            }

            @Override
            public void cancel(long requestId, int attemptIndex) {
            }

            @Override
            public void refuse(long requestId, long retryAfterNs) {
            }

            @Override
            public void fail(long requestId) {
            }

            @Override
            public void scheduleTimer(long dueAt, int token) {
            }

            @Override
            public void closeIdleConnections(long serverId) {
            }

            @Override
            public void subscribe() {
            }
        };
        long ms = 1_000_000L;
        // Reads: answers have value for 300 ms, and clients wait for 600 ms at most.
        Api.RequestClass read = new Api.RequestClass(300 * ms, 0, 600 * ms, 1, 0,
                Api.Effect.IDEMPOTENT, Api.Group.ALL, 0, false, false);
        // One instance in front of read-through caches: at most 3 attempts per request, hedging and cancelling allowed.
        Api.Settings settings = new Api.Settings(List.of(read), List.of(), 0, 0, 1, false, -1, false, 3, true,
                true, false, 0, 250 * ms, 10_000 * ms, 0.2, 20_000 * ms, 4, 1_000 * ms, 1,
                0, null, new Api.LoadReportLayout(-1, -1, -1));
        Router router = new Router(settings, 42, actions);
        long now = 1_000 * ms;
        router.onServerList(now, Api.ListMode.FULL, List.of(
                new Api.Server(1, 0, 0, 0, Api.State.READY, 1, 0),
                new Api.Server(2, 0, 0, 0, Api.State.READY, 1, 0)));
        // Request 7, of class 0 and tenant 0, with key 99 and a deadline in 600 ms.
        router.onRequest(now, new Api.Request(7, 0, 0, 99, now + 600 * ms, 0, false, false));
        now += 20 * ms;
        router.onAttemptOutcome(now, new Api.AttemptOutcome(7, 0, Api.Reason.OK, 20 * ms, true, new float[0]));
        return serverIds.remove();
    }
}
