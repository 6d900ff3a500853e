package eiderscale.net;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the ids of requests whose client has left while they may have had an effect that a repeat would have again,
 * so that an id that comes again doesn't run twice. Without I/O, threads or a clock.
 */
final class RecentWrites {
    /** Most ids remembered, the latest; a client that comes again does so within seconds. */
    static final int MAX_IDS = 8_192;

    private final Map<String, Boolean> ids = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_IDS;
        }
    };

    /** Notes that the client of a request has left, and that the request may have run. */
    void onClientLeft(String id) {
        ids.put(id, Boolean.TRUE);
    }

    /** Whether a request with this id may have run for a client that has left. */
    boolean mayHaveRun(String id) {
        return ids.containsKey(id);
    }
}
