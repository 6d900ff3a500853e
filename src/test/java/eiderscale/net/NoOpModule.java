package eiderscale.net;

import eiderscale.Api;
import java.util.List;

/** A decision module that ignores all events; tests override the methods that they need. */
class NoOpModule implements Api.Events {
    final Api.Actions actions;

    NoOpModule(Api.Actions actions) {
        this.actions = actions;
    }

    @Override
    public void onServerList(long now, Api.ListMode mode, List<Api.Server> servers) {
    }

    @Override
    public void onRequest(long now, Api.Request request) {
    }

    @Override
    public void onAttemptOutcome(long now, Api.AttemptOutcome outcome) {
    }

    @Override
    public void onFirstByte(long now, long requestId, int attemptIndex) {
    }

    @Override
    public void onClientGone(long now, long requestId) {
    }

    @Override
    public void onTimer(long now, int token) {
    }

    @Override
    public String gauges() {
        return "";
    }
}
