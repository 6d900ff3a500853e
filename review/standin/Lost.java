import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Traffic and checks that the cases share. */
final class Lost {
    /** Up to half a second after its time an answer only earns nothing; time limits run 50 ms longer on sockets. */
    static final double GRACE_MS = 500 + 50;

    private Lost() {
    }

    static String key(Random random) {
        return String.format("%016x", random.nextLong() | 1);
    }

    /** Twelve cache hosts in one zone, all ready. */
    static List<Rig.Host> hosts(Rig.Record record, Rig.Discovery discovery, int count, int valueLength)
            throws IOException {
        List<Rig.Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Rig.Host host = new Rig.Host("s-" + i, record);
            host.valueLength = valueLength;
            hosts.add(host);
            discovery.set(host, "dublin", 1, "Ready");
        }
        return hosts;
    }

    /**
     * Counts the requests of a connection that were lost: the balancer ended the connection with no whole answer, or
     * the final answer came more than the grace after the request's time, or never. The time that an answer waits for
     * those before it on its connection does not count; what stands behind a lost request is not counted.
     */
    static int count(Rig.Client client, Rig.Record record) {
        int lost = 0;
        double previousAnswerMs = 0;
        for (Rig.Request request : client.sent) {
            if (request.sentAtMs < 0) {
                break; // Not written whole before the connection ended.
            }
            double dueMs = Math.max(request.sentAtMs + request.waitMs, previousAnswerMs) + GRACE_MS;
            if (!request.isAnswered() && client.end != null) {
                record.line("LOST %s %s: the balancer ended the connection (%s) with no answer", client.name,
                        request.id, client.end);
                lost++;
            } else if (!request.isAnswered() && Rig.nowMs() > dueMs) {
                record.line("LOST %s %s: no answer %.0f ms after it was due, and the connection is open", client.name,
                        request.id, Rig.nowMs() - dueMs);
                return lost + 1;
            } else if (request.isAnswered() && request.answeredAtMs > dueMs) {
                record.line("LOST %s %s: answered %.0f ms after it was due: %s", client.name, request.id,
                        request.answeredAtMs - dueMs, request.answer);
                lost++;
            }
            previousAnswerMs = Math.max(previousAnswerMs, request.answeredAtMs);
        }
        return lost;
    }

    static String summary(Rig.Client client) {
        int answered = 0;
        int served = 0;
        for (Rig.Request request : client.sent) {
            answered += request.isAnswered() ? 1 : 0;
            served += request.isAnswered() && !request.answer.startsWith("SERVER_ERROR") ? 1 : 0;
        }
        return client.name + ": sent " + client.sent.size() + ", answered " + answered + ", of these served " + served
                + ", connection " + (client.end == null ? "open" : "ended by the balancer: " + client.end);
    }

    /** Ends the run. The exit code is 11 if the rule was broken and 10 if it held; the JVM uses 1 for its own failures. */
    static void finish(Rig.Record record, Rig.Balancer balancer, boolean isBroken, String what) {
        record.both("%s: %s", isBroken ? "BROKEN" : "held", what);
        balancer.close();
        record.close();
        Runtime.getRuntime().halt(isBroken ? 11 : 10);
    }
}
