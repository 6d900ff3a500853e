package eiderscale.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base class of tests that run the balancer as a process whose system calls can be made to fail, together with one
 * cache host and a discovery server.
 */
abstract class FaultInjectionTestBase {
    /** A reply may arrive this long after the deadline of its request; after that the request counts as lost. */
    static final int REPLY_GRACE_MS = 500;
    /** A read whose client waits for 400 ms. */
    static final String READ_WITH_SHORT_TIMEOUT = "mg 7f3a9c21e0b4d655 v O1 Pc=read,t=acme,d=400";

    @TempDir
    Path directory;
    Faults faults;
    FakeHost host;
    DiscoveryServer discovery;
    BalancerFixture fixture;
    BalancerProcess process;

    @BeforeEach
    void setUp() throws Exception {
        faults = new Faults(directory);
        host = FakeHost.serving();
        discovery = new DiscoveryServer();
        fixture = new BalancerFixture(host);
        fixture.allowedRequestsPerSecond = 100;
        fixture.discoveryEndpoint = discovery.endpoint();
        process = new BalancerProcess(directory, fixture, faults);
    }

    @AfterEach
    void tearDown() throws IOException {
        process.close();
        discovery.close();
        fixture.close();
    }

    /** Waits until discovery has got this many calls in all, without those that it failed or ignored on purpose. */
    void awaitDiscoveryCalls(int count) {
        Await.until(() -> discovery.answerableCalls() >= count, count + " calls to discovery");
    }

    /** Waits until discovery has sent the latest revision of the host list. */
    void awaitLatestListSent() {
        Await.until(() -> discovery.latestSentRevision() == discovery.revision(), "a call for the latest host list");
    }

    int hostPort() {
        return Integer.parseInt(host.endpoint().split(":")[1]);
    }

    /** Sends {@link #READ_WITH_SHORT_TIMEOUT} and returns whether it was served. */
    static boolean isServed(LineSocket client) {
        try {
            boolean isServed = "VA 16 O1".equals(client.request(READ_WITH_SHORT_TIMEOUT));
            if (isServed) {
                client.readData(16);
            }
            return isServed;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
