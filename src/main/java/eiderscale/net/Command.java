package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A client's validated read ({@code mg}) or write ({@code ms}), with all that is needed to forward it unchanged to a
 * cache host. Its {@code P} flag holds parameters, a comma-separated list of {@code name=value}.
 */
final class Command {
    /** A rejection without a retry-after time. */
    static final String BUSY_REPLY = "SERVER_ERROR busy\r\n";
    private static final int MAX_KEY_LENGTH = 250;
    private static final int MAX_OPAQUE_LENGTH = 32;
    /** Digits of a key that fits a long. */
    private static final int MAX_HEX_KEY_DIGITS = 16;
    /**
     * Upper bound for a client's timeout and expected work. No client seriously asks for more, and sums with these
     * values must not overflow.
     */
    private static final long MAX_TIMEOUT_MS = 3_600_000;

    /** The command is invalid; the message is the error reply without CRLF. */
    static final class MalformedCommandException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedCommandException(String detail) {
            super("CLIENT_ERROR " + detail, null, false, false);
        }
    }

    /** Whether this is {@code ms}; else it is {@code mg}. */
    final boolean isWrite;
    final String key;
    /** The client's id for the request, from the {@code O} flag. */
    final String opaque;
    /** The value to write, null for a read. */
    final byte[] value;
    /** Index of the request class in the settings. */
    final int requestClass;
    /** Index of the tenant in the settings. */
    final int tenant;
    /** How long the client waits for the reply, from the parameter {@code d}. */
    final long timeoutMs;
    /** Whether the client sent the request before, from the parameter {@code r}. */
    final boolean isRetry;
    /** Expected work in nanoseconds, 0 if unknown; from the parameter {@code h}, in microseconds. */
    final long expectedWorkNs;
    private final String[] parameters;
    /** Index of {@code d} in {@link #parameters}. */
    private int timeoutIndex = -1;

    /** @throws MalformedCommandException if a part is missing, invalid or names what the settings do not hold */
    Command(MetaFrame frame, SiteSettings site) throws MalformedCommandException {
        isWrite = frame.tokenIs(0, "ms");
        value = frame.data();
        if (frame.tokens().size() < 2 || frame.tokens().get(1).length() > MAX_KEY_LENGTH) {
            throw new MalformedCommandException("bad key");
        }
        key = frame.tokens().get(1);
        int firstFlag = isWrite ? 3 : 2;
        String opaqueFlag = null;
        String parameterList = null;
        boolean wantsValue = false;
        for (String flag : frame.tokens().subList(firstFlag, frame.tokens().size())) {
            switch (flag.charAt(0)) {
                case 'O' -> opaqueFlag = flag.substring(1);
                case 'P' -> parameterList = flag.substring(1);
                case 'v' -> wantsValue = true;
                default -> throw new MalformedCommandException("unknown flag");
            }
        }
        if (opaqueFlag == null || opaqueFlag.isEmpty() || opaqueFlag.length() > MAX_OPAQUE_LENGTH) {
            throw new MalformedCommandException("bad or missing opaque");
        }
        if (wantsValue == isWrite) {
            throw new MalformedCommandException(isWrite ? "ms takes no v" : "mg needs v");
        }
        opaque = opaqueFlag;
        parameters = parameterList == null ? new String[0] : parameterList.split(",");
        requestClass = requireKnown(site.requestClass(parameter("c")), "class");
        tenant = requireKnown(site.tenant(parameter("t")), "tenant");
        timeoutMs = Math.min(MAX_TIMEOUT_MS, nonNegativeParameter("d", -1));
        if (timeoutMs < 0) {
            throw new MalformedCommandException("missing d");
        }
        isRetry = "1".equals(parameter("r"));
        expectedWorkNs = Math.min(MAX_TIMEOUT_MS * 1000, nonNegativeParameter("h", 0)) * 1000;
        for (int i = parameters.length - 1; i >= 0; i--) {
            timeoutIndex = parameters[i].startsWith("d=") ? i : timeoutIndex;
        }
    }

    /** The index, unless it is null: the settings hold no such name. */
    private static int requireKnown(Integer index, String kind) throws MalformedCommandException {
        if (index == null) {
            throw new MalformedCommandException("unknown " + kind);
        }
        return index;
    }

    /** The value of the first parameter of that name, null if absent. */
    private String parameter(String name) {
        return Arrays.stream(parameters).filter(p -> p.startsWith(name + "=")).findFirst()
                .map(p -> p.substring(name.length() + 1)).orElse(null);
    }

    /** The value of a numeric parameter, or the default, which may be negative, if it is absent. */
    private long nonNegativeParameter(String name, long defaultValue) throws MalformedCommandException {
        String text = parameter(name);
        try {
            long value = text == null ? defaultValue : Long.parseLong(text);
            if (text == null || value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new MalformedCommandException("bad " + name);
    }

    /** The key for the decision module: the value of a hexadecimal key, else a hash that all balancers share. */
    long numericKey() {
        try {
            if (key.length() <= MAX_HEX_KEY_DIGITS) {
                return Long.parseUnsignedLong(key, 16);
            }
        } catch (NumberFormatException e) {
            // Not hexadecimal.
        }
        return Catalog.hash(key);
    }

    /** Encodes the command for a cache host: as received, except for the timeout, which is the remaining time. */
    ByteBuf encode(ByteBufAllocator alloc, long remainingMs) {
        String[] updatedParameters = parameters.clone();
        updatedParameters[timeoutIndex] = "d=" + remainingMs;
        String line = (isWrite ? "ms " + key + " " + value.length : "mg " + key + " v") + " O" + opaque
                + " P" + String.join(",", updatedParameters) + "\r\n";
        return encodeLine(alloc, line, value);
    }

    /** Encodes a line, which includes its CRLF, and a data block unless that is null. */
    static ByteBuf encodeLine(ByteBufAllocator alloc, String line, byte[] data) {
        ByteBuf bytes = alloc.buffer(line.length() + (data == null ? 0 : data.length + 2));
        bytes.writeCharSequence(line, StandardCharsets.ISO_8859_1);
        if (data != null) {
            bytes.writeBytes(data);
            ByteBufUtil.writeShortBE(bytes, '\r' << 8 | '\n');
        }
        return bytes;
    }
}
