package eiderscale;

import java.util.List;

/**
 * The interface of the decision module: settings and events go in, actions come out.
 *
 * <p>Threading: a {@link Router} must be used by one thread at a time. It starts no threads, takes no locks
 * and is not reentrant: no event may be delivered while an action is being called.
 *
 * <p>Clock: every event carries the present instant, {@code now}, in nanoseconds. The origin is the caller's
 * choice, but should be the same at all instances, which spread their calls to discovery by it. Instants must
 * never decrease; the module reads no clock itself. All deadlines and due times are instants on this clock;
 * durations are in nanoseconds as well.
 *
 * <p>Ownership: values handed in must be immutable and may be kept by the module. Actions are called back
 * during an event, in the order in which they must be carried out.
 */
public final class Api {
    private Api() {
    }

    /** What it means for a request of a class to be executed more than once. */
    public enum Effect {
        /** Repeated execution is harmless. */
        IDEMPOTENT,
        /** The servers of a {@link Group} drop repeats within {@link RequestClass#dedupWindowNs}. */
        DEDUPLICATED,
        /** Must not be executed twice. */
        NON_IDEMPOTENT
    }

    /** The servers that drop repeats of a {@link Effect#DEDUPLICATED} request that ran at one of them. */
    public enum Group {
        /** All servers. */
        ALL,
        /** The servers of one zone. */
        ZONE,
        /** The servers of one cell. */
        CELL
    }

    /** State of a server in the server list. */
    public enum State {
        /** Accepts requests. */
        READY,
        /** Shutting down: finishes its requests, but gets no new ones. */
        DRAINING,
        /** Has left the fleet. */
        GONE
    }

    /** What a server list holds. */
    public enum ListMode {
        /** The servers that have changed since the list before. */
        DELTA,
        /** All servers; those that it does not name are gone. */
        FULL,
        /** All servers as known before this process started, of unknown age. */
        CACHED,
        /** Nothing: the call to discovery failed. */
        FAILED
    }

    /** How an attempt ended. */
    public enum Reason {
        /** The server executed the request and responded; from a cache in cache-aside mode, a hit. */
        OK(false),
        /** The server responded that the request failed; it may have been executed. */
        ERROR(false),
        /** The server was too busy and refused the request unexecuted. */
        REJECTED(true),
        /** No response by the attempt's deadline. */
        TIMEOUT(false),
        /** The request was not sent completely: no connection came up in time, or it broke before. */
        CONNECT_FAILED(true),
        /** The connection broke after the request was sent completely. */
        RESET(false),
        /** Given up by this balancer, usually after {@link Actions#cancel}. */
        CANCELLED(false),
        /** Never left this machine: no free connection here, server unknown, or request already closed. */
        MOOT(true),
        /** The cache does not hold the key: only the origin can serve the request. */
        MISS(true);

        /** Whether the request is known not to have been executed by this attempt. */
        public final boolean neverExecuted;

        Reason(boolean neverExecuted) {
            this.neverExecuted = neverExecuted;
        }

        /** Whether the server may still be executing the request. */
        public boolean mayStillBeRunning() {
            return this == TIMEOUT || this == RESET || this == CANCELLED;
        }

        /** Whether the server worked as it should: it served the request, or responded that it was a miss. */
        public boolean isSuccess() {
            return this == OK || this == MISS;
        }
    }

    /**
     * A class of requests with the same goals and constraints.
     *
     * @param goalTimeNs time from arrival within which a reply has its full value, at least 1
     * @param goalTimePerWork added goal time per nanosecond of {@link Request#workHintNs}, 0 or more
     * @param timeoutNs longest time that clients wait for a reply; not used by the router, as each request
     *         has its own deadline
     * @param onTimeValue relative value of a reply within the goal time; not used by the router
     * @param lateValue relative value of a reply after the goal time; if 0, the router gives up then
     * @param effect what repeated execution means
     * @param dedupScope the servers that drop each other's repeats, for {@link Effect#DEDUPLICATED}
     * @param dedupWindowNs how long after the first attempt that may have been executed a repeat is dropped,
     *         from sending to sending, for {@link Effect#DEDUPLICATED}
     * @param isStreamed whether responses are streamed: the goal time does not end such a request
     * @param isSerialByKey whether requests with the same key must run one at a time, in order of arrival
     */
    public record RequestClass(long goalTimeNs, double goalTimePerWork, long timeoutNs, double onTimeValue,
                               double lateValue, Effect effect, Group dedupScope, long dedupWindowNs,
                               boolean isStreamed, boolean isSerialByKey) {
    }

    /**
     * A tenant.
     *
     * @param allowancePerSecond requests per second that are within its share, over all instances together
     * @param serviceFraction fraction of those requests that are to be served; not used by the router
     */
    public record Tenant(double allowancePerSecond, double serviceFraction) {
    }

    /**
     * The indexes of the values in {@link AttemptOutcome#loadReport}, -1 if absent. Not used by the router.
     *
     * @param inFlightIndex index of the number of requests in flight
     * @param queueIndex index of the queue length
     * @param utilizationIndex index of the utilization
     */
    public record LoadReportLayout(int inFlightIndex, int queueIndex, int utilizationIndex) {
    }

    /**
     * The limit of further attempts: within any window at most {@code minRetries} plus {@code retryRatio}
     * times the requests received in it. Hedges and retries count alike. Retries after {@link Reason#MISS}
     * and {@link Reason#MOOT} are not counted.
     *
     * @param minRetries further attempts per window that are always allowed
     * @param retryRatio further attempts allowed per request received
     * @param windowNs length of the sliding window
     */
    public record RetryBudget(double minRetries, double retryRatio, long windowNs) {
    }

    /**
     * The settings of a balancer instance, fixed from its start.
     *
     * @param requestClasses the classes that {@link Request#classIndex} refers to
     * @param tenants the tenants that {@link Request#tenantIndex} refers to; others have no limit
     * @param zone the zone of this instance
     * @param rank number of this instance among all, from 0; it spreads calls to discovery over time
     * @param instanceCount number of balancer instances, at least 1
     * @param isCacheAside true if the balancer itself sends writes and misses to the origin (cache-aside);
     *         false if the caches do (read-through)
     * @param originKind the {@link Server#kind} of origin servers; used in cache-aside mode only
     * @param mustSubscribe whether the server list comes only after {@link Actions#subscribe}; else it is
     *         pushed
     * @param maxAttempts most attempts per request, the first one included; the router makes at most 6
     * @param mayHedge whether a request may have more than one pending attempt
     * @param mayCancel whether pending attempts may be cancelled
     * @param sendsRetryAfter whether refusals may tell the client when to retry
     * @param maxRetryAfterNs the longest such time; the one given if a tenant is over its share or the
     *         request's time is up
     * @param stopSendingWithinNs how soon after a server started to drain nothing may be sent to it; not used
     *         by the router, which stops at once
     * @param subscribeWithinNs time from the start, or from a failed call, within which all instances must
     *         have subscribed
     * @param initialCapacityFraction fraction of its full capacity, in [0, 1], that a server has at its
     *         start; it grows linearly to 1 over {@code slowStartNs}
     * @param slowStartNs duration of a server's slow start
     * @param overloadMultiple more than this multiple of the load that matches its present capacity, within
     *         {@code overloadWindowNs}, overloads a server in slow start
     * @param overloadWindowNs time over which that load counts, at least 1
     * @param overShareValue relative value of replies to requests over their tenant's share; not used by the
     *         router
     * @param keyCooldownNs how long no other request with the same key starts after an attempt of a serial
     *         class that may still be running
     * @param retryBudget the limit of hedges and retries; null for the router's default, 10 plus 0.2 per
     *         request within 5 s, of which hedges may use half; it does not count the first retry of a
     *         request that was not executed, unless in cache-aside mode or under overload
     * @param loadReportLayout where the values of load reports are
     */
    public record Settings(List<RequestClass> requestClasses, List<Tenant> tenants, int zone, int rank,
                           int instanceCount, boolean isCacheAside, int originKind, boolean mustSubscribe,
                           int maxAttempts, boolean mayHedge, boolean mayCancel, boolean sendsRetryAfter,
                           long maxRetryAfterNs, long stopSendingWithinNs, long subscribeWithinNs,
                           double initialCapacityFraction, long slowStartNs, double overloadMultiple,
                           long overloadWindowNs, double overShareValue, long keyCooldownNs,
                           RetryBudget retryBudget, LoadReportLayout loadReportLayout) {
    }

    /**
     * An entry of the server list.
     *
     * @param id identifies the server; must be the same at all instances, as keys are hashed with it
     * @param zone the zone that it is in
     * @param kind what it is, such as an origin; see {@link Settings#originKind}
     * @param cell the cell that it is in
     * @param state whether it may get requests
     * @param weight its capacity compared with other servers; 0 or less counts as 1
     * @param startedAt when it started, in nanoseconds by the wall clock of the list's author; 0 if unknown
     */
    public record Server(long id, int zone, int kind, int cell, State state, double weight, long startedAt) {
    }

    /**
     * A client request.
     *
     * @param id unique among the requests in flight
     * @param classIndex index into {@link Settings#requestClasses}
     * @param tenantIndex index into {@link Settings#tenants}, 0 or more
     * @param key its key as a number, the same at all instances; 0 if it has none
     * @param deadline latest instant for the final reply
     * @param workHintNs expected work; 0 if unknown
     * @param isClientRetry whether the client has sent it before; not used by the router
     * @param isWrite whether it is a write, not a read
     */
    public record Request(long id, int classIndex, int tenantIndex, long key, long deadline, long workHintNs,
                          boolean isClientRetry, boolean isWrite) {
    }

    /**
     * The end of an attempt.
     *
     * @param requestId the request
     * @param attemptIndex which attempt of the request, numbered from 0 in the order of {@link Actions#send}
     * @param reason how it ended
     * @param durationNs time since it was sent; not used by the router, which measures on the events' clock
     * @param isRequestClosed whether the request needs no further attempt: its final reply has been sent, or
     *         its client is gone
     * @param loadReport the server's load report in the order of {@link Settings#loadReportLayout}, empty if
     *         there is none; not used by the router
     */
    public record AttemptOutcome(long requestId, int attemptIndex, Reason reason, long durationNs,
                                 boolean isRequestClosed, float[] loadReport) {
    }

    /** The events that the caller delivers to the module. */
    public interface Events {
        /** The server list has changed, or a call for it has failed; {@code servers} is then empty. */
        void onServerList(long now, ListMode mode, List<Server> servers);

        /**
         * A client request has arrived. Exactly one final reply follows, at once or during a later event,
         * unless the client disconnects first: {@link Actions#refuse}, {@link Actions#fail}, or the response
         * to an attempt, which the caller reports with {@link AttemptOutcome#isRequestClosed}.
         *
         * @throws IndexOutOfBoundsException if the settings have no such request class
         */
        void onRequest(long now, Request request);

        /** An attempt has ended; due once for each {@link Actions#send}. Unknown attempts are ignored. */
        void onAttemptOutcome(long now, AttemptOutcome outcome);

        /** The first byte of a streamed response has arrived; the other attempts are cancelled. */
        void onFirstByte(long now, long requestId, int attemptIndex);

        /** The client of a request has disconnected: no reply is needed any more. */
        void onClientGone(long now, long requestId);

        /** A timer is due; {@code token} is the one passed to {@link Actions#scheduleTimer}. */
        void onTimer(long now, int token);

        /**
         * Describes the module's present state in one line, for the log. The line contains some counts since
         * the previous call, which are reset.
         */
        String gauges();
    }

    /** The actions that the module asks of its caller. */
    public interface Actions {
        /**
         * Sends the next attempt of a request. Without a response by {@code attemptDeadline} the caller
         * abandons it and reports its end. A request's attempts are numbered from 0 in the order of these
         * calls.
         */
        void send(long requestId, long serverId, long attemptDeadline);

        /** Abandons a pending attempt; its outcome is still reported, as {@link Reason#CANCELLED}. */
        void cancel(long requestId, int attemptIndex);

        /**
         * Sends the client the final reply that the request was refused. A retry by the client is safe.
         *
         * @param retryAfterNs time after which the client should retry; 0 if it is not told a time
         */
        void refuse(long requestId, long retryAfterNs);

        /** Sends the client the final reply that the request failed; it may have been executed. */
        void fail(long requestId);

        /**
         * Asks for one {@link Events#onTimer} with this token at {@code dueAt}. Timers are never cancelled,
         * and several with the same token may be outstanding.
         */
        void scheduleTimer(long dueAt, int token);

        /** Closes this balancer's idle connections to a server. */
        void closeIdleConnections(long serverId);

        /** Starts to watch discovery for changes of the server list. */
        void subscribe();
    }
}
