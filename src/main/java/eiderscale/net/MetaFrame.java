package eiderscale.net;

import java.util.List;

/**
 * One line of the memcache meta protocol with its data block: a command or a response.
 *
 * @param tokens the line, split at spaces; empty after a protocol error, else at least one token
 * @param data the data block without its CRLF, null if there is none
 * @param protocolError the error reply for the sender, without CRLF, if the input was invalid or there was no memory
 *         for the data block; else null
 */
record MetaFrame(List<String> tokens, byte[] data, String protocolError) {
    /** Maximum size of a data block. */
    static final int MAX_VALUE_BYTES = 64 * 1024;

    /** The error reply to a command whose value was discarded for lack of memory. */
    private static final String VALUE_DROPPED_ERROR = "SERVER_ERROR busy";

    /** Returns a frame that stands for invalid input. */
    static MetaFrame protocolError(String errorReply) {
        return new MetaFrame(List.of(), null, errorReply);
    }

    /** Returns the frame of a line whose data block was discarded, as there was no memory for it. */
    static MetaFrame valueDropped(List<String> tokens) {
        return new MetaFrame(tokens, null, VALUE_DROPPED_ERROR);
    }

    /** Whether the line was valid and its data block was discarded for lack of memory. */
    boolean isValueDropped() {
        return VALUE_DROPPED_ERROR.equals(protocolError);
    }

    /** Whether this is a command that reads or writes a key, valid or not. */
    boolean isRequest() {
        return tokenIs(0, "mg") || tokenIs(0, "ms");
    }

    /** Whether the token at that index exists and equals {@code token}. */
    boolean tokenIs(int index, String token) {
        return index < tokens.size() && tokens.get(index).equals(token);
    }

    /** Returns the value of the first flag with that letter, from {@code firstFlagIndex} on; null if there is none. */
    String flagValue(int firstFlagIndex, char letter) {
        for (int i = firstFlagIndex; i < tokens.size(); i++) {
            if (tokens.get(i).charAt(0) == letter) {
                return tokens.get(i).substring(1);
            }
        }
        return null;
    }
}
