import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Clients send many commands at once, a few writes and then reads of long values, and read their answers at once. The
 * balancer closes their connections because the answers that wait for those before them exceed its limit.
 */
final class Case2 {
    private static final int CLIENTS = 4;
    private static final int WRITES = 4;
    private static final int COMMANDS = 64;
    /** The clients send their commands this many times, each time on new connections. */
    private static final int ROUNDS = 4;

    private Case2() {
    }

    private static void send(Rig.Client client, Random random) throws Exception {
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
        Random random = new Random(2);
        List<Rig.Client> clients = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (int c = 0; c < CLIENTS; c++) {
                Rig.Client client = new Rig.Client("r" + round + "c" + c, balancer.port, record);
                clients.add(client);
                send(client, random);
            }
            Rig.sleepMs(4000);
        }
        Rig.sleepMs(8000);
        int lost = 0;
        for (Rig.Client client : clients) {
            lost += Lost.count(client, record);
            record.both("%s", Lost.summary(client));
        }
        Lost.finish(record, balancer, lost > 0, lost + " requests lost on " + clients.size() + " connections");
    }
}
