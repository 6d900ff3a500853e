package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;

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
    /** The list of parameters up to the value of the first {@code d}. */
    private final String parametersBeforeTimeout;
    /** The list of parameters behind that value. */
    private final String parametersAfterTimeout;

    /**
     * Parses and validates a command.
     *
     * @throws MalformedCommandException if a part is missing or invalid, or the settings do not define the request
     *         class or the tenant
     */
    Command(MetaFrame frame, SiteSettings site) throws MalformedCommandException {
        isWrite = frame.tokenIs(0, "ms");
        value = frame.data();
        List<String> tokens = frame.tokens();
        if (tokens.size() < 2 || tokens.get(1).length() > MAX_KEY_BYTES) {
            throw new MalformedCommandException("bad key");
        }
        key = tokens.get(1);
        int firstFlagIndex = isWrite ? 3 : 2;
        String opaqueFlag = null;
        String parameters = "";
        boolean wantsValue = false;
        for (String flag : tokens.subList(firstFlagIndex, tokens.size())) {
            switch (flag.charAt(0)) {
                case 'O' -> opaqueFlag = flag.substring(1);
                case 'P' -> parameters = flag.substring(1);
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
        requestClassIndex = requireKnown(site.requestClassIndex(parameter(parameters, "c")), "class");
        tenantIndex = requireKnown(site.tenantIndex(parameter(parameters, "t")), "tenant");
        timeoutMs = Math.min(MAX_TIMEOUT_MS, nonNegativeParameter(parameters, "d", -1));
        if (timeoutMs < 0) {
            throw new MalformedCommandException("missing d");
        }
        isRetry = "1".equals(parameter(parameters, "r"));
        expectedWorkNs = Math.min(MAX_TIMEOUT_MS * 1000, nonNegativeParameter(parameters, "h", 0)) * 1000;
        int timeoutStart = valueStart(parameters, "d");
        parametersBeforeTimeout = parameters.substring(0, timeoutStart);
        parametersAfterTimeout = parameters.substring(valueEnd(parameters, timeoutStart));
    }

    /** Returns the index; throws if it is null, which means that the settings do not define the name. */
    private static int requireKnown(Integer index, String kind) throws MalformedCommandException {
        if (index == null) {
            throw new MalformedCommandException("unknown " + kind);
        }
        return index;
    }

    /** Returns the position of the value of the first parameter of that name, or -1 if there is none. */
    private static int valueStart(String parameters, String name) {
        String prefix = name + "=";
        for (int start = 0; start < parameters.length(); start = valueEnd(parameters, start) + 1) {
            if (parameters.startsWith(prefix, start)) {
                return start + prefix.length();
            }
        }
        return -1;
    }

    /** Returns the position behind the value that the position lies in. */
    private static int valueEnd(String parameters, int position) {
        int end = parameters.indexOf(',', position);
        return end < 0 ? parameters.length() : end;
    }

    /** Returns the value of the first parameter of that name, or null if there is none. */
    private static String parameter(String parameters, String name) {
        int start = valueStart(parameters, name);
        return start < 0 ? null : parameters.substring(start, valueEnd(parameters, start));
    }

    /** Returns the value of a numeric parameter; if it is absent, the default, which may be negative. */
    private static long nonNegativeParameter(String parameters, String name, long defaultValue)
            throws MalformedCommandException {
        String text = parameter(parameters, name);
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

    /** Returns the heap memory of the key, the opaque, the parameters and the value, in bytes. */
    int memoryBytes() {
        return key.length() + opaque.length() + parametersBeforeTimeout.length() + parametersAfterTimeout.length()
                + valueBytes();
    }

    /** Returns the length of the value to write, 0 for a read. */
    int valueBytes() {
        return value == null ? 0 : value.length;
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
        String line = (isWrite ? "ms " + key + " " + value.length : "mg " + key + " v") + " O" + opaque
                + " P" + parametersBeforeTimeout + remainingMs + parametersAfterTimeout + "\r\n";
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
