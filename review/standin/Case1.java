import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Clients send many commands at once, a few writes and then reads of long values. The answers to the reads wait in the
 * balancer for the answers to the writes and use up its direct memory.
 */
final class Case1 {
    private static final int CLIENTS = 16;
    /** One command in sixteen is a write, as at the site. */
    private static final int WRITES = 4;
    private static final int COMMANDS = 64;
    /** Requests that an ordinary client sends meanwhile, each alone on a connection. */
    private static final int SINGLES = 40;

    private Case1() {
    }

    public static void main(String[] args) throws Exception {
        Rig.Record record = new Rig.Record(args[0]);
        Rig.Discovery discovery = new Rig.Discovery();
        List<Rig.Host> hosts = Lost.hosts(record, discovery, 12, 64 * 1024);
        for (Rig.Host host : hosts) {
            host.readMs = 50;
            host.writeMs = 250;
        }
        Rig.Balancer balancer = new Rig.Balancer(record, discovery, Rig.settings(3));
        Rig.sleepMs(2000);
        Random random = new Random(1);
        List<Rig.Client> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Rig.Client client = new Rig.Client("c" + c, balancer.port, record);
            clients.add(client);
            List<Rig.Request> requests = new ArrayList<>();
            for (int i = 0; i < COMMANDS; i++) {
                requests.add(i < WRITES ? Rig.write(Lost.key(random), 5000) : Rig.read(Lost.key(random), 1500));
            }
            if (Rig.hasTrouble()) {
                client.send(requests);
            } else {
                Rig.thread("sender", () -> client.sendOneByOne(requests));
            }
        }
        List<Rig.Client> singles = new ArrayList<>();
        for (int i = 0; i < SINGLES; i++) {
            Rig.Client client = new Rig.Client("single" + i, balancer.port, record);
            singles.add(client);
            client.send(List.of(Rig.read(Lost.key(random), 1500)));
            Rig.sleepMs(100);
        }
        // Longer than all times of all requests together with the grace.
        Rig.sleepMs(10_000);
        int lost = 0;
        int lostSingles = 0;
        for (Rig.Client client : clients) {
            lost += Lost.count(client, record);
            record.both("%s", Lost.summary(client));
        }
        for (Rig.Client client : singles) {
            lostSingles += Lost.count(client, record);
        }
        Lost.finish(record, balancer, lost + lostSingles > 0, lost + " requests lost on " + clients.size()
                + " connections with many commands (without those behind them), and " + lostSingles + " of "
                + singles.size() + " requests sent alone; the balancer "
                + (balancer.isAlive() ? "runs" : "has ended"));
    }
}
