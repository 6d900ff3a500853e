import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A request behind 64 others on its connection is given its whole time anew when these have ended. */
final class Case3 {
    /** What the time told to a cache host may exceed the time left to the client by. */
    private static final double TOLD_SLACK_MS = 150 + 50;
    private static final int COMMANDS = 200;
    /** A quarter of the cache hosts. */
    private static final int HUNG = 3;

    private Case3() {
    }

    public static void main(String[] args) throws Exception {
        Rig.Record record = new Rig.Record(args[0]);
        Rig.Discovery discovery = new Rig.Discovery();
        List<Rig.Host> hosts = Lost.hosts(record, discovery, 12, 64);
        Rig.Balancer balancer = new Rig.Balancer(record, discovery, Rig.settings(3));
        Rig.sleepMs(2000);
        if (Rig.hasTrouble()) {
            for (int i = 0; i < HUNG; i++) {
                hosts.get(i).hangs = true;
                record.line("%s hangs from now on", hosts.get(i).uid);
            }
        }
        Random random = new Random(3);
        List<Rig.Request> requests = new ArrayList<>();
        for (int i = 0; i < COMMANDS; i++) {
            requests.add(i % 16 == 0 ? Rig.write(Lost.key(random), 5000) : Rig.read(Lost.key(random), 1500));
        }
        Rig.Client client = new Rig.Client("c0", balancer.port, record);
        client.send(requests);
        Rig.sleepMs(20000);
        int lost = Lost.count(client, record);
        Map<String, Rig.Request> byId = new HashMap<>();
        requests.forEach(request -> byId.put(request.id, request));
        int late = 0;
        int toldTooMuch = 0;
        double most = 0;
        for (Rig.Host host : hosts) {
            for (Rig.Run run : host.runs) {
                Rig.Request request = byId.get(run.id);
                double leftMs = request.sentAtMs + request.waitMs - run.atMs;
                if (run.toldMs > Math.max(0, leftMs) + TOLD_SLACK_MS) {
                    record.line("TOLD %s %s: told d=%d when %.0f ms were left to the client", run.host, run.id,
                            run.toldMs, leftMs);
                    toldTooMuch++;
                    most = Math.max(most, run.toldMs - leftMs);
                }
                late += leftMs < 0 ? 1 : 0;
            }
        }
        record.both("%s", Lost.summary(client));
        Lost.finish(record, balancer, lost + toldTooMuch > 0, lost + " requests lost; " + toldTooMuch
                + " attempts told their cache host more time than was left to the client, by up to "
                + Math.round(most) + " ms; " + late + " of these began after the client's time was over");
    }
}
