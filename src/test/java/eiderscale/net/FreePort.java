package eiderscale.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for processes that bind them later. All lie below the system's ephemeral port range: an ephemeral
 * port could be assigned to another connection after it was found free and before the process binds it.
 */
final class FreePort {
    private static final Path EPHEMERAL_PORT_RANGE_FILE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final int DEFAULT_FIRST_EPHEMERAL_PORT = 32_768;
    private static final int CANDIDATE_COUNT = 10_000;
    private static final int START_OFFSET_PER_PID = 97;
    /** Advances so that a port is not allocated twice; starts at another offset in concurrent test runs. */
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * START_OFFSET_PER_PID % CANDIDATE_COUNT));

    private FreePort() {
    }

    /** Returns a port on which nothing listens now. */
    static int allocate() throws IOException {
        int firstCandidate = firstEphemeralPort() - CANDIDATE_COUNT;
        for (int i = 0; i < CANDIDATE_COUNT; i++) {
            int port = firstCandidate + NEXT_OFFSET.getAndIncrement() % CANDIDATE_COUNT;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("none of the ports from " + firstCandidate + " to "
                + (firstCandidate + CANDIDATE_COUNT - 1) + " is free");
    }

    private static int firstEphemeralPort() throws IOException {
        if (!Files.isReadable(EPHEMERAL_PORT_RANGE_FILE)) {
            return DEFAULT_FIRST_EPHEMERAL_PORT;
        }
        // Not readString: files in /proc report no size, and must be read in a single piece.
        try (BufferedReader reader = Files.newBufferedReader(EPHEMERAL_PORT_RANGE_FILE)) {
            return Integer.parseInt(reader.readLine().trim().split("\\s+")[0]);
        }
    }

    private static boolean isFree(int port) {
        try {
            new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
