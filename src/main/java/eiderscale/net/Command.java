package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A client's validated read ({@code mg}) or write ({@code ms}), with all that is needed to forward it to a cache host.
 * Its {@code P} flag holds parameters, a comma-separated list of {@code name=value}.
 */
final class Command {
    /** The reply that rejects a command, without a time after which to retry. */
    static final String BUSY_REPLY = "SERVER_ERROR busy\r\n";
    private static final int MAX_KEY_BYTES = 250;
    private static final int MAX_OPAQUE_BYTES = 32;
    /** Maximum number of hexadecimal digits that fit a long. */
    private static final int MAX_HEX_KEY_DIGITS = 16;
    /**
     * Upper bound for a client's timeout and expected work; larger values are reduced to it. No client needs more, and
     * sums with these values must not overflow.
     */
    private static final long MAX_TIMEOUT_MS = 3_600_000;

    /** Thrown if a command is invalid; the message is the error reply without its CRLF. */
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
    final int requestClassIndex;
    /** Index of the tenant in the settings. */
    final int tenantIndex;
    /** How long the client waits for the reply, from the parameter {@code d}; at most {@link #MAX_TIMEOUT_MS}. */
    final long timeoutMs;
    /** Whether the client sent the request before, from the parameter {@code r}. */
    final boolean isRetry;
    /** Expected work in nanoseconds, 0 if unknown; from the parameter {@code h}, in microseconds. */
    final long expectedWorkNs;
    private final String[] parameters;
    /** Index of the first {@code d} in {@link #parameters}. */
    private int timeoutIndex = -1;

    /**
     * Parses and validates a command.
     *
     * @throws MalformedCommandException if a part is missing or invalid, or the settings do not define the request
     *         class or the tenant
     */
    Command(MetaFrame frame, SiteSettings site) throws MalformedCommandException {
        isWrite = frame.tokenIs(0, "ms");
        value = frame.data();
        if (frame.tokens().size() < 2 || frame.tokens().get(1).length() > MAX_KEY_BYTES) {
            throw new MalformedCommandException("bad key");
        }
        key = frame.tokens().get(1);
        int firstFlagIndex = isWrite ? 3 : 2;
        String opaqueFlag = null;
        String parameterList = null;
        boolean wantsValue = false;
        for (String flag : frame.tokens().subList(firstFlagIndex, frame.tokens().size())) {
            switch (flag.charAt(0)) {
                case 'O' -> opaqueFlag = flag.substring(1);
                case 'P' -> parameterList = flag.substring(1);
                case 'v' -> wantsValue = true;
                default -> throw new MalformedCommandException("unknown flag");
            }
        }
        if (opaqueFlag == null || opaqueFlag.isEmpty() || opaqueFlag.length() > MAX_OPAQUE_BYTES) {
            throw new MalformedCommandException("bad or missing opaque");
        }
        if (wantsValue == isWrite) {
            throw new MalformedCommandException(isWrite ? "ms takes no v" : "mg needs v");
        }
        opaque = opaqueFlag;
        parameters = parameterList == null ? new String[0] : parameterList.split(",");
        requestClassIndex = requireKnown(site.requestClassIndex(parameter("c")), "class");
        tenantIndex = requireKnown(site.tenantIndex(parameter("t")), "tenant");
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

    /** Returns the index; throws if it is null, which means that the settings do not define the name. */
    private static int requireKnown(Integer index, String kind) throws MalformedCommandException {
        if (index == null) {
            throw new MalformedCommandException("unknown " + kind);
        }
        return index;
    }

    /** Returns the value of the first parameter of that name, or null if there is none. */
    private String parameter(String name) {
        return Arrays.stream(parameters).filter(parameter -> parameter.startsWith(name + "=")).findFirst()
                .map(parameter -> parameter.substring(name.length() + 1)).orElse(null);
    }

    /** Returns the value of a numeric parameter; if it is absent, the default, which may be negative. */
    private long nonNegativeParameter(String name, long defaultValue) throws MalformedCommandException {
        String text = parameter(name);
        try {
            long value = text == null ? defaultValue : Long.parseLong(text);
            if (text == null || value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Thrown below.
        }
        throw new MalformedCommandException("bad " + name);
    }

    /**
     * Returns the key for the decision module, which is the same at all balancers: the value of a key of up to 16
     * hexadecimal digits, or a hash of any other key.
     */
    long numericKey() {
        try {
            if (key.length() <= MAX_HEX_KEY_DIGITS) {
                return Long.parseUnsignedLong(key, 16);
            }
        } catch (NumberFormatException e) {
            // Not hexadecimal.
        }
        return HostList.hash(key);
    }

    /**
     * Encodes the command for a cache host, with the time that remains in place of the client's timeout. The flags are
     * written in the fixed order {@code v}, {@code O}, {@code P}; of a repeated flag only the last is written.
     */
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
