package eiderscale.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * A blocking TCP socket for line-based text protocols, used by tests as a client or, accepted by {@link FakeHost}, as a
 * server. Every read has a timeout.
 */
final class LineSocket implements AutoCloseable {
    /** Read timeout, and limit of other waits in tests: long, so that a slow machine does not exceed it. */
    static final int TIMEOUT_MS = 20_000;
    private static final int DISCARD_BUFFER_BYTES = 64 * 1024;
    private final Socket socket;
    private final InputStream in;

    LineSocket(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sets the time after which later reads fail with a {@link SocketTimeoutException}. */
    void setReadTimeout(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
    }

    LineSocket write(String text) throws IOException {
        return write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    LineSocket write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /** Returns the next line without its CRLF, or null at the end of the stream or after a reset. */
    String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        try {
            for (int c = in.read(); c >= 0; c = in.read()) {
                if (c == '\n') {
                    return line.substring(0, line.length() - 1);
                }
                line.append((char) c);
            }
        } catch (SocketException e) {
            return null;
        }
        return null;
    }

    /** Returns whether the peer has closed the connection. May consume input: do not read afterwards. */
    boolean isClosedByPeer() throws IOException {
        socket.setSoTimeout(1);
        try {
            return readLine() == null;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            socket.setSoTimeout(TIMEOUT_MS);
        }
    }

    /** Returns a data block of this length, without the CRLF that follows it. */
    String readData(int length) throws IOException {
        String data = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        readLine();
        return data;
    }

    /** Sends a command, to which this adds CRLF, and returns the first line of the reply. */
    String request(String command) throws IOException {
        return write(command + "\r\n").readLine();
    }

    /** Waits until the peer closes the connection, and discards its remaining output. */
    void awaitPeerClose() throws IOException {
        String line = readLine();
        while (line != null) {
            line = readLine();
        }
    }

    /** Discards the peer's output at full speed until the connection ends or nothing arrives for long. */
    void discardInput() throws IOException {
        byte[] buffer = new byte[DISCARD_BUFFER_BYTES];
        while (in.read(buffer) >= 0) {
            // Discarded.
        }
    }

    /** Closes the connection with a reset (RST) instead of a FIN. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Closes the connection; separate from {@link #close} for tests that disconnect a client on purpose. */
    void disconnect() throws IOException {
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
