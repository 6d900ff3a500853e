package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against malformed or incomplete input, from clients or in the configuration file, that is accepted, is
 * forwarded to a host, blocks a connection or affects other requests.
 */
class BadInputTest {
    @Test
    void malformedCommandsGetAnErrorAndTheConnectionStaysOpen() throws Exception {
        List<String> malformed = List.of("", " ", "mg", "ms", "get a", "mg a", "mg a v", "mg a v O1",
                "mg a v O1 P", "mg a v O1 Pc=read,t=acme", "mg a v Pc=read,t=acme,d=5", "mg a v O Pc=read,t=acme,d=5",
                "mg a O1 Pc=read,t=acme,d=5", "mg a v O1 Pc=none,t=acme,d=5", "mg a v O1 Pc=read,t=none,d=5",
                "mg a v O1 Pt=acme,d=5", "mg a v O1 Pc=read,d=5", "mg a v O1 Pc=read,t=acme,d=-1",
                "mg a v O1 Pc=read,t=acme,d=soon", "mg a v O1 Pc=read,t=acme,d=5,h=x", "mg a v q O1 Pc=read,t=acme,d=5",
                "mg " + "k".repeat(251) + " v O1 Pc=read,t=acme,d=5",
                "mg a v O" + "1".repeat(33) + " Pc=read,t=acme,d=5",
                "ms a", "ms a x O1 Pc=copy,t=acme,d=5", "ms a -1 O1 Pc=copy,t=acme,d=5",
                "mg \u0001 v O1 Pc=read,t=acme,d=5",
                "x".repeat(10_000), "mg a v O1 Pc=read,t=acme,d=99999999999999999999",
                "ms a 1 O1 Pc=none,t=acme,d=5\r\nx", "ms a 70000 O1 Pc=copy,t=acme,d=5\r\n" + "x".repeat(70_000));
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            for (String command : malformed) {
                String reply = client.request(command);
                assertTrue(reply.startsWith("CLIENT_ERROR ") || reply.equals("ERROR"), command + ": " + reply);
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE), "after " + command);
            }
            assertEquals(malformed.size(), fixture.hosts.get(0).receivedCommands.size(),
                    "no malformed command was forwarded");
        }
    }

    @Test
    void valueWithoutLineEndGetsOneError() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("CLIENT_ERROR bad data chunk",
                    client.request("ms a 3 O1 Pc=copy,t=acme,d=5000\r\ntoo long"));
            assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE));
        }
    }

    @Test
    void connectionWithoutACompleteFirstCommandIsClosed() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient();
                LineSocket silent = fixture.connectClient();
                LineSocket partial = fixture.connectClient()) {
            assertEquals("MN", client.request("mn"));
            partial.write("ms a 5 O1 Pc=copy,t=acme,d=5000\r\nhel");
            assertEquals(null, silent.readLine());
            assertEquals(null, partial.readLine());
            assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE),
                    "idle for as long, but it has sent a command");
        }
    }

    @Test
    void incompleteLaterCommandGetsAnErrorAfterEarlierReplies() throws Exception {
        for (String partialCommand : List.of("mg 7f3a", "ms a 5 O1 Pc=copy,t=acme,d=5000\r\nhel")) {
            try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                    LineSocket stalled = fixture.connectClient();
                    LineSocket client = fixture.connectClient()) {
                assertEquals("MN", client.request("mn"));
                stalled.setReadTimeout(3_000);
                assertEquals("MN", stalled.request("mn"));
                assertEquals("HD O2 c77",
                        stalled.write(BalancerFixture.NON_IDEMPOTENT_WRITE + "\r\n" + partialCommand).readLine());
                assertEquals("CLIENT_ERROR incomplete command", stalled.readLine());
                assertEquals(null, stalled.readLine());
                assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE),
                        "idle for as long, but with no incomplete command");
                assertEquals(2, fixture.hosts.get(0).receivedCommands.size());
            }
        }
    }

    @Test
    void slowlyWrittenCommandIsAccepted() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("MN", client.request("mn"));
            for (String part : List.of("ms 7f3a9c21e0b4d655 5 O2 Pc=copy,t=acme", ",d=9000\r\nhe", "llo")) {
                client.write(part);
                Thread.sleep(1_200);
            }
            assertEquals("HD O2 c77", client.request(""));
        }
    }

    @Test
    void bareLineFeedIsRejected() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("CLIENT_ERROR lines end in CRLF", client.write("mn\n").readLine());
            assertEquals("MN", client.request("mn"));
        }
    }

    @Test
    void commandsMayArriveByteByByte() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            for (byte b : (BalancerFixture.DEDUPLICATED_WRITE + "\r\n" + BalancerFixture.READ + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII)) {
                client.write(new byte[] {b});
                Thread.yield();
            }
            assertEquals("HD O3 c77", client.readLine());
            assertEquals("VA 16 O1", client.readLine());
        }
    }

    @Test
    void quitClosesTheConnectionAfterPendingReplies() throws Exception {
        try (BalancerFixture fixture = new BalancerFixture(FakeHost.serving()).start();
                LineSocket client = fixture.connectClient()) {
            assertEquals("HD O2 c77", client.request(BalancerFixture.NON_IDEMPOTENT_WRITE + "\r\nquit"));
            assertEquals(null, client.readLine());
        }
    }

    private static void assertInvalidConfig(String configJson) {
        assertThrows(ConfigException.class,
                () -> Config.parse(Json.parse(configJson.getBytes(StandardCharsets.UTF_8))), configJson);
    }

    @Test
    void invalidConfigurationThrowsConfigException() throws Exception {
        String validJson;
        try (BalancerFixture fixture = new BalancerFixture()) {
            validJson = fixture.configJson("127.0.0.1:0");
        }
        Config config = Config.parse(Json.parse(validJson.getBytes(StandardCharsets.UTF_8)));
        assertEquals(3, config.site().settings.requestClasses().size());
        assertEquals(7, config.initialHostList().revision());
        assertEquals(1_000_000_000L, config.site().settings.stopSendingWithinNs());
        assertInvalidConfig("");
        assertInvalidConfig("[]");
        assertInvalidConfig("{}");
        assertInvalidConfig(validJson.replace("127.0.0.1:0", "localhost:0"));
        assertInvalidConfig(validJson.replace("127.0.0.1:0", "127.0.0.1:99999"));
        assertInvalidConfig(validJson.replace("8c1f30d27a5be964", "no seed"));
        assertInvalidConfig(validJson.replace("\"settings\"", "\"settings-x\""));
        assertInvalidConfig(validJson.replace("\"categories\"", "\"categories-x\""));
        assertInvalidConfig(validJson.replace("\"multiplex\":1", "\"multiplex\":0"));
        assertInvalidConfig(validJson.replace("0.2", "\"cold\""));
        assertThrows(ConfigException.class, () -> Config.read(null));
        assertThrows(ConfigException.class, () -> Config.read("/nonexistent/config.json"));
    }
}
