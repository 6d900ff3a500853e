package eiderscale.sim;

import eiderscale.Api;
import eiderscale.Router;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs decision modules under a simulator: reads frames of event records from the input, passes each event to the
 * {@link Router} of the balancer that it names, and answers every frame with a frame of action records (see
 * {@link ReplyWriter}). Translates between wire and {@link Api} only; all decisions are the module's.
 *
 * <p>All numbers on the wire are little-endian; times are nanoseconds of the simulator's clock. A frame is a 4-byte
 * length prefix, which does not count itself, and the body:
 * <pre>
 *   0   4   number of event records
 *   4   8   time of the batch
 *  12       event records of 56 bytes each
 *           payload section: settings texts and server entries that the records refer to
 * </pre>
 *
 * <p>Byte 0 of an event record is its event code, bytes 1-4 are the balancer id (not in code 0). The other fields,
 * with their offsets within the record; a <i>range</i> is a 4-byte offset from the start of the payload section and
 * a 4-byte number of items:
 * <pre>
 *   0  server list      1 list number, 2 range of 24-byte server entries
 *   1  timer due        5 token
 *   2  attempt ended    5 request id, 13 attempt, 21 outcome code, 23 duration, 31 whether the request has its
 *                      final answer, 36 number of load report values, 37 those values, at most four used
 *   3  balancer stops
 *   4  message          (ignored)
 *   5  probe result     (ignored)
 *   6  list update      5 list mode, 14 list number
 *   7  balancer starts  5 random seed, 13 range of bytes of the settings text
 *   8  first byte       5 request id, 13 attempt
 *   9  client gone      5 request id
 *  10  request          5 request id, 13 request class, 15 tenant, 19 key, 27 deadline, 35 work hint, 47 attributes
 * </pre>
 *
 * <p>Fields of a server entry: 0 address, 4 port, 6 zone, 8 kind, 9 cell, 11 state, 12 weight, 16 start time. The codes
 * of list modes and server states are the ordinals of {@link Api.ListMode} and {@link Api.State}.
 *
 * <p>Request ids, keys, times, durations, work hints and seeds have 8 bytes; balancer ids, tokens, tenants and
 * addresses 4; attempts, request classes, outcome codes, ports, zones and cells 2; load report values and weights are
 * 4-byte floats; all else has 1 byte.
 *
 * <p>A server list is kept under its number until the same number is sent again, so that the list updates of several
 * balancers can refer to it.
 */
final class Adapter {
    /** Size of an event record, whatever its event code. */
    static final int EVENT_RECORD_BYTES = 56;
    /** Size of a server entry in the payload section. */
    private static final int SERVER_ENTRY_BYTES = 24;
    /** List numbers run from 0 to one less than this. */
    private static final int MAX_SERVER_LISTS = 16;
    /** Record count (4 bytes) and time of the batch (8 bytes). */
    private static final int BODY_HEADER_BYTES = 12;
    /** Maximum length of a body; a greater length prefix is treated as corrupt. */
    static final int MAX_BODY_BYTES = 1 << 28;
    /** Bits of a request's attributes. */
    private static final int ATTR_HAS_WORK_HINT = 1;
    private static final int ATTR_IS_REPEAT = 2;
    private static final int ATTR_IS_WRITE = 4;
    /** Shared by all outcomes without a load report. */
    private static final float[] EMPTY_LOAD_REPORT = new float[0];

    /** A balancer that has started, and the number of request classes in its settings. */
    private record Instance(Router router, int requestClassCount) {
    }

    private final InputStream input;
    private final OutputStream output;
    private final ReplyWriter replyWriter = new ReplyWriter();
    /** Started balancers by balancer id. */
    private final Map<Integer, Instance> instances = new HashMap<>();
    /** Server lists by list number; null if not yet sent. */
    private final List<List<Api.Server>> serverLists = new ArrayList<>();
    /** Body of the current frame. */
    private ByteBuffer body;
    /** Offset of the payload section within the body. */
    private int payloadStart;

    Adapter(InputStream input, OutputStream output) {
        this.input = input;
        this.output = output;
        for (int i = 0; i < MAX_SERVER_LISTS; i++) {
            serverLists.add(null);
        }
    }

    /**
     * Answers frames until the input ends between two frames.
     *
     * @throws MalformedInputException if a frame is incomplete or breaks the layout
     * @throws IOException if the input cannot be read or the output cannot be written
     */
    void run() throws IOException {
        while (readFrame()) {
            replyWriter.beginFrame();
            int recordCount = body.getInt(0);
            long now = body.getLong(4);
            for (int i = 0; i < recordCount; i++) {
                handleEvent(now, BODY_HEADER_BYTES + i * EVENT_RECORD_BYTES);
            }
            replyWriter.writeFrame(output);
        }
    }

    /** Reads the next frame into {@link #body} and checks its sizes. Returns false at the end of input. */
    private boolean readFrame() throws IOException {
        byte[] lengthPrefix = input.readNBytes(4);
        if (lengthPrefix.length == 0) {
            return false;
        }
        if (lengthPrefix.length < 4) {
            throw new MalformedInputException("end of input inside the length prefix of a frame");
        }
        int bodyLength = ByteBuffer.wrap(lengthPrefix).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (bodyLength < BODY_HEADER_BYTES || bodyLength > MAX_BODY_BYTES) {
            throw new MalformedInputException("frame length out of range: " + Integer.toUnsignedString(bodyLength));
        }
        byte[] bodyBytes = input.readNBytes(bodyLength);
        if (bodyBytes.length < bodyLength) {
            throw new MalformedInputException("end of input inside a frame body: " + bodyBytes.length + " of "
                    + bodyLength + " bytes");
        }
        body = ByteBuffer.wrap(bodyBytes).order(ByteOrder.LITTLE_ENDIAN);
        int recordCount = body.getInt(0);
        long recordsEnd = BODY_HEADER_BYTES + (recordCount & 0xffffffffL) * EVENT_RECORD_BYTES;
        if (recordsEnd > bodyLength) {
            throw new MalformedInputException("a frame body of " + bodyLength + " bytes cannot hold "
                    + Integer.toUnsignedString(recordCount) + " records");
        }
        payloadStart = (int) recordsEnd;
        return true;
    }

    /** Passes the event record at an offset in the body to its balancer, or starts or stops a balancer. */
    private void handleEvent(long now, int recordOffset) {
        int eventCode = body.get(recordOffset) & 0xff;
        if (eventCode == 0) {
            storeServerList(recordOffset);
            return;
        }
        int balancerId = body.getInt(recordOffset + 1);
        if (eventCode == 7) {
            startInstance(recordOffset, balancerId);
            return;
        }
        if (eventCode > 10) {
            throw new MalformedInputException("unknown event code " + eventCode);
        }
        Instance instance = instances.get(balancerId);
        if (instance == null) {
            throw new MalformedInputException("event " + eventCode + " for balancer " + balancerId
                    + ", which has not started");
        }
        Router router = instance.router();
        switch (eventCode) {
            case 1 -> router.onTimer(now, body.getInt(recordOffset + 5));
            case 2 -> router.onAttemptOutcome(now, readOutcome(recordOffset));
            case 3 -> instances.remove(balancerId);
            case 6 -> router.onServerList(now, readListMode(recordOffset), findReferencedServers(recordOffset));
            case 8 -> router.onFirstByte(now, body.getLong(recordOffset + 5), readUnsignedShort(recordOffset + 13));
            case 9 -> router.onClientGone(now, body.getLong(recordOffset + 5));
            case 10 -> router.onRequest(now, readRequest(recordOffset, instance.requestClassCount()));
            default -> {
                // Codes 4 (message) and 5 (probe result) are ignored: the module requests neither.
            }
        }
    }

    /** Starts a balancer; replaces a running one of the same id. */
    private void startInstance(int recordOffset, int balancerId) {
        int[] range = readRange(recordOffset + 13, 1);
        String settingsText = new String(body.array(), range[0], range[1], StandardCharsets.UTF_8);
        Api.Settings settings = SettingsParser.parse(settingsText);
        if (settings.requestClasses().isEmpty()) {
            throw new MalformedInputException("settings of balancer " + balancerId + " define no request class");
        }
        Router router = new Router(settings, body.getLong(recordOffset + 5), replyWriter.actionsFor(balancerId));
        instances.put(balancerId, new Instance(router, settings.requestClasses().size()));
    }

    /** Reads a server list and stores it under its number. */
    private void storeServerList(int recordOffset) {
        int[] range = readRange(recordOffset + 2, SERVER_ENTRY_BYTES);
        List<Api.Server> servers = new ArrayList<>(range[1]);
        for (int i = 0; i < range[1]; i++) {
            int entryOffset = range[0] + i * SERVER_ENTRY_BYTES;
            int state = body.get(entryOffset + 11);
            if (state < 0 || state > 2) {
                throw new MalformedInputException("unknown server state " + state);
            }
            servers.add(new Api.Server(readServerId(entryOffset), readUnsignedShort(entryOffset + 6),
                    body.get(entryOffset + 8) & 0xff, readUnsignedShort(entryOffset + 9),
                    Api.State.values()[state], body.getFloat(entryOffset + 12), body.getLong(entryOffset + 16)));
        }
        serverLists.set(readListNumber(recordOffset + 1), List.copyOf(servers));
    }

    private int readListNumber(int offset) {
        int listNumber = body.get(offset) & 0xff;
        if (listNumber >= MAX_SERVER_LISTS) {
            throw new MalformedInputException("server list number out of range: " + listNumber);
        }
        return listNumber;
    }

    /** Reads the list mode of the list update record at the offset. */
    private Api.ListMode readListMode(int recordOffset) {
        int mode = body.get(recordOffset + 5) & 0xff;
        if (mode >= Api.ListMode.values().length) {
            throw new MalformedInputException("unknown list mode " + mode);
        }
        return Api.ListMode.values()[mode];
    }

    /** The servers that a list update refers to; none if it reports a failed discovery call. */
    private List<Api.Server> findReferencedServers(int recordOffset) {
        if (readListMode(recordOffset) == Api.ListMode.FAILED) {
            return List.of();
        }
        int listNumber = readListNumber(recordOffset + 14);
        if (serverLists.get(listNumber) == null) {
            throw new MalformedInputException("server list " + listNumber + " has not been sent");
        }
        return serverLists.get(listNumber);
    }

    /** Reads a request event; its request class must be among those of the balancer's settings. */
    private Api.Request readRequest(int recordOffset, int requestClassCount) {
        int attributes = body.get(recordOffset + 47);
        int requestClass = readUnsignedShort(recordOffset + 13);
        if (requestClass >= requestClassCount) {
            throw new MalformedInputException("unknown request class " + requestClass);
        }
        // The tenant's sign bit is cleared because the module uses tenants as array indexes and checks only that
        // they are below the number of configured tenants.
        return new Api.Request(body.getLong(recordOffset + 5), requestClass,
                body.getInt(recordOffset + 15) & Integer.MAX_VALUE,
                body.getLong(recordOffset + 19), body.getLong(recordOffset + 27),
                (attributes & ATTR_HAS_WORK_HINT) != 0 ? body.getLong(recordOffset + 35) : 0,
                (attributes & ATTR_IS_REPEAT) != 0, (attributes & ATTR_IS_WRITE) != 0);
    }

    /** Reads the end of an attempt; an outcome code outside the list below is an error. */
    private Api.AttemptOutcome readOutcome(int recordOffset) {
        int outcomeCode = readUnsignedShort(recordOffset + 21);
        Api.Reason reason = switch (outcomeCode) {
            case 200 -> Api.Reason.OK;
            case 204 -> Api.Reason.MISS;
            case 408 -> Api.Reason.TIMEOUT;
            case 409 -> Api.Reason.MOOT;
            case 429 -> Api.Reason.REJECTED;
            case 444 -> Api.Reason.CANCELLED;
            case 502 -> Api.Reason.ERROR;
            case 520 -> Api.Reason.RESET;
            case 521 -> Api.Reason.CONNECT_FAILED;
            default -> throw new MalformedInputException("unknown outcome code " + outcomeCode);
        };
        int valueCount = Math.min(4, body.get(recordOffset + 36) & 0xff);
        float[] loadReport = valueCount == 0 ? EMPTY_LOAD_REPORT : new float[valueCount];
        for (int i = 0; i < valueCount; i++) {
            loadReport[i] = body.getFloat(recordOffset + 37 + 4 * i);
        }
        return new Api.AttemptOutcome(body.getLong(recordOffset + 5), readUnsignedShort(recordOffset + 13), reason,
                body.getLong(recordOffset + 23), body.get(recordOffset + 31) != 0, loadReport);
    }

    /**
     * Reads a range (offset and number of items) from a record and checks that it ends within the frame.
     *
     * @param rangeOffset offset of the range within the body
     * @param itemBytes size of an item
     * @return the offset of the first item within the body, and the number of items
     */
    private int[] readRange(int rangeOffset, int itemBytes) {
        long payloadOffset = body.getInt(rangeOffset) & 0xffffffffL;
        long itemCount = body.getInt(rangeOffset + 4) & 0xffffffffL;
        if (payloadStart + payloadOffset + itemCount * itemBytes > body.capacity()) {
            throw new MalformedInputException("a record points past the end of its frame: offset " + payloadOffset
                    + ", number of items " + itemCount);
        }
        return new int[] {(int) (payloadStart + payloadOffset), (int) itemCount};
    }

    /** Reads a server's 4-byte address and 2-byte port as an id: the address in the low 32 bits, the port above. */
    private long readServerId(int offset) {
        return body.getInt(offset) & 0xffffffffL | (long) readUnsignedShort(offset + 4) << 32;
    }

    private int readUnsignedShort(int offset) {
        return body.getShort(offset) & 0xffff;
    }
}
