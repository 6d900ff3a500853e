package eiderscale.net;

import eiderscale.Api;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The list of cache hosts, or the changes to it, as discovery sends it.
 *
 * @param revision discovery's revision of the list
 * @param isFull whether {@code members} are all hosts; if not, they are those changed since the requested revision
 */
record HostList(long revision, boolean isFull, List<Member> members) {
    private static final int MAX_PORT = 0xffff;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /**
     * A cache host.
     *
     * @param server its description for the decision module
     * @param endpoint its address as seen from this balancer
     */
    record Member(Api.Server server, InetSocketAddress endpoint) {
    }

    /**
     * Reads a list from parsed JSON.
     *
     * @throws ConfigException if it is not a valid list
     */
    static HostList parse(Map<?, ?> json, SiteSettings site) {
        List<Member> members = new ArrayList<>();
        for (Object target : Json.list(json, "targets")) {
            members.add(parseMember(Json.object(target), site));
        }
        return new HostList(Json.get(json, "rev", Number.class).longValue(),
                Json.get(json, "all", Boolean.class), members);
    }

    private static Member parseMember(Map<?, ?> json, SiteSettings site) {
        Api.State state = switch (Json.get(json, "state", String.class)) {
            case "Ready" -> Api.State.READY;
            case "Terminating" -> Api.State.DRAINING;
            case "Gone" -> Api.State.GONE;
            default -> throw new ConfigException("unknown cache host state: " + json.get("state"));
        };
        // The id is derived from the uid and not from the endpoint, which differs from balancer to balancer: rendezvous
        // hashing and slow start need the same id at every balancer.
        Api.Server server = new Api.Server(hash(Json.get(json, "uid", String.class)),
                site.zoneIndex(Json.get(json, "az", String.class, "")),
                site.kindIndex(Json.get(json, "model", String.class, "")),
                Json.get(json, "pod_group", Number.class, 0).intValue(), state,
                Json.get(json, "capacity_hint", Number.class, 1).doubleValue(),
                Json.get(json, "boot_ms", Number.class, 0).longValue() * Clock.MILLISECOND);
        return new Member(server, parseAddress(Json.get(json, "endpoint", String.class)));
    }

    /** Returns the 64-bit FNV-1a hash of the text's UTF-8 bytes, which is the same at every balancer. */
    static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * Parses ADDRESS:PORT, where ADDRESS is an IP literal: host names are not resolved, as there is no DNS.
     *
     * @throws ConfigException if the text is anything else
     */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] address = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = address == null ? -1 : Integer.parseInt(text.substring(colon + 1));
            if (port >= 0 && port <= MAX_PORT) {
                return new InetSocketAddress(InetAddress.getByAddress(address), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Thrown below.
        }
        throw new ConfigException("not an IP address and port: " + text);
    }
}
