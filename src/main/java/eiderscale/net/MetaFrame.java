package eiderscale.net;

import java.util.ArrayList;
import java.util.List;

/**
 * One line of the memcache meta protocol with its data block: a command or a response. The line is kept as it came: its
 * tokens, one by one, could take up thirty times the memory.
 *
 * @param line the line without its CRLF; empty after a protocol error, else with at least one token
 * @param data the data block without its CRLF, null if there is none
 * @param protocolError the error reply for the sender, without CRLF, if the input was invalid or there was no memory
 *         for the data block; else null
 */
record MetaFrame(String line, byte[] data, String protocolError) {
    /** Maximum size of a data block. */
    static final int MAX_VALUE_BYTES = 64 * 1024;

    /** The error reply to a command whose value was discarded for lack of memory. */
    private static final String VALUE_DROPPED_ERROR = "SERVER_ERROR busy";
    private static final char SEPARATOR = ' ';

    /** Returns a frame that stands for invalid input. */
    static MetaFrame protocolError(String errorReply) {
        return new MetaFrame("", null, errorReply);
    }

    /** Returns the frame of a line whose data block was discarded, as there was no memory for it. */
    static MetaFrame valueDropped(String line) {
        return new MetaFrame(line, null, VALUE_DROPPED_ERROR);
    }

    /** Whether the line was valid and its data block was discarded for lack of memory. */
    boolean isValueDropped() {
        return VALUE_DROPPED_ERROR.equals(protocolError);
    }

    /** Whether this is a command that reads or writes a key, valid or not. */
    boolean isRequest() {
        return tokenIs(0, "mg") || tokenIs(0, "ms");
    }

    /** Returns the tokens of the line, which are separated by spaces. The list is made anew by each call. */
    List<String> tokens() {
        List<String> tokens = new ArrayList<>();
        for (int start = tokenStart(line, 0); start < line.length(); start = nextTokenStart(line, start)) {
            tokens.add(tokenAt(line, start));
        }
        return tokens;
    }

    /** Returns the token at that index, or null if there are fewer. */
    String token(int index) {
        return token(line, index);
    }

    /** Returns a line's token at that index, or null if there are fewer. */
    static String token(String line, int index) {
        int start = tokenStart(line, 0);
        for (int i = 0; i < index && start < line.length(); i++) {
            start = nextTokenStart(line, start);
        }
        return start < line.length() ? tokenAt(line, start) : null;
    }

    /** Whether the token at that index exists and equals {@code token}. */
    boolean tokenIs(int index, String token) {
        return token.equals(token(index));
    }

    /** Returns the value of the first flag with that letter, from {@code firstFlagIndex} on; null if there is none. */
    String flagValue(int firstFlagIndex, char letter) {
        int start = tokenStart(line, 0);
        for (int i = 0; start < line.length(); i++) {
            if (i >= firstFlagIndex && line.charAt(start) == letter) {
                return tokenAt(line, start).substring(1);
            }
            start = nextTokenStart(line, start);
        }
        return null;
    }

    private static int nextTokenStart(String line, int start) {
        return tokenStart(line, tokenEnd(line, start));
    }

    /** Returns the position of the first token from {@code from} on; the length of the line if there is none. */
    private static int tokenStart(String line, int from) {
        int start = from;
        while (start < line.length() && line.charAt(start) == SEPARATOR) {
            start++;
        }
        return start;
    }

    private static int tokenEnd(String line, int start) {
        int end = line.indexOf(SEPARATOR, start);
        return end < 0 ? line.length() : end;
    }

    private static String tokenAt(String line, int start) {
        return line.substring(start, tokenEnd(line, start));
    }
}
