package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against commands that are passed on changed, and against memory that they take up in no account. */
class CommandTest {
    private final SiteSettings site = new BalancerFixture().siteSettings();

    private Command parse(String line, byte[] value) throws Command.MalformedCommandException {
        return new Command(new MetaFrame(line, value, null), site);
    }

    private static String encode(Command command, long remainingMs) {
        ByteBuf bytes = command.encode(UnpooledByteBufAllocator.DEFAULT, remainingMs);
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        bytes.release();
        return text;
    }

    @Test
    void onlyTheFirstTimeoutIsReplaced() throws Exception {
        Command command = parse("mg k v O1 Pfirst=1,c=read,dd=7,t=acme,d=480,d=9,r=1,last=", null);
        assertEquals(480, command.timeoutMs);
        assertEquals("mg k v O1 Pfirst=1,c=read,dd=7,t=acme,d=33,d=9,r=1,last=\r\n", encode(command, 33));
        assertEquals("ms k 2 O1 Pd=33,t=acme,c=put\r\nab\r\n",
                encode(parse("ms k 2 O1 Pd=1,t=acme,c=put", new byte[] {'a', 'b'}), 33));
    }

    @Test
    void missingOrInvalidParametersAreErrors() {
        for (String parameters : new String[] {"c=read,t=acme", "c=read,t=acme,d=", "c=read,t=acme,d=-1", "t=acme,d=1",
            "c=read,d=1", "xc=read,t=acme,d=1", ""}) {
            assertThrows(Command.MalformedCommandException.class, () -> parse("mg k v O1 P" + parameters, null),
                    parameters);
        }
    }

    /** Picture (a): a request held each of a thousand short parameters on its own, and counted as 1 KiB. */
    @Test
    void aRequestOfManyParametersCountsAsWhatItTakesUp() throws Exception {
        String parameters = "c=read,t=acme,d=1500" + ",a".repeat(900);
        Command command = parse("mg k v O1 P" + parameters, null);
        assertEquals(parameters.length() + "k".length() + "1".length() - "1500".length(), command.memoryBytes());
    }
}
