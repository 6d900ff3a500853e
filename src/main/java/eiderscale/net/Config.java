package eiderscale.net;

import eiderscale.Api;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * The configuration of one balancer, read from a JSON file.
 *
 * @param name name of this balancer in the log
 * @param listenAddress where to listen for clients
 * @param discoveryAddress where discovery listens
 * @param randomSeed seed of the decision module's random numbers
 * @param cores number of CPU cores, possibly fractional, that this balancer may use
 * @param maxSockets number of file descriptors that it may use
 * @param site the "settings" object of the file
 * @param initialHostList the list of cache hosts to start with, until discovery sends a newer one
 */
record Config(String name, InetSocketAddress listenAddress, InetSocketAddress discoveryAddress, long randomSeed,
              double cores, int maxSockets, SiteSettings site, HostList initialHostList) {
    private static final int DEFAULT_MAX_SOCKETS = 1024;

    /**
     * Reads a configuration file.
     *
     * @throws ConfigException if the file cannot be read or is not a valid configuration
     */
    static Config read(String path) {
        if (path == null || path.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        try {
            return parse(Json.parse(Files.readAllBytes(Path.of(path))));
        } catch (IOException e) {
            throw new ConfigException("cannot read the configuration: " + e);
        } catch (ConfigException e) {
            throw new ConfigException(path + ": " + e.getMessage());
        }
    }

    /** Returns this balancer's part of the tenants' allowances, in requests per second; 0 if none is configured. */
    double allowedRequestsPerSecond() {
        return site.settings.tenants().stream().mapToDouble(Api.Tenant::allowancePerSecond).sum()
                / Math.max(1, site.settings.instanceCount());
    }

    /** Describes the limits and timeouts that this balancer runs with, for the log. */
    String describeLimits() {
        return "cores " + cores + ", " + Math.round(allowedRequestsPerSecond()) + " requests/s, " + maxSockets
                + " sockets, idle and connect timeouts " + site.idleTimeoutNs / Clock.MILLISECOND
                + ", " + site.connectTimeoutNs / Clock.MILLISECOND + " ms, max attempts "
                + site.settings.maxAttempts() + ", " + site.settings.requestClasses().stream()
                .map(requestClass -> requestClass.goalTimeNs() / Clock.MILLISECOND + " ms goal / "
                        + requestClass.timeoutNs() / Clock.MILLISECOND + " ms deadline").toList();
    }

    /**
     * Reads a configuration from parsed JSON.
     *
     * @throws ConfigException if it is not a valid configuration
     */
    static Config parse(Map<?, ?> json) {
        SiteSettings site = new SiteSettings(Json.get(json, "settings", Map.class));
        Map<?, ?> limits = Json.get(json, "limits", Map.class, Map.of());
        Map<?, ?> known = Json.get(json, "known", Map.class, Map.of("rev", 0, "all", true));
        try {
            return new Config(Json.get(json, "name", String.class, "balancer"),
                    HostList.parseAddress(Json.get(json, "listen", String.class)),
                    HostList.parseAddress(Json.get(json, "discovery", String.class)),
                    Long.parseUnsignedLong(Json.get(json, "seed", String.class, "0"), 16),
                    Json.get(limits, "cores", Number.class, 1).doubleValue(),
                    Json.get(limits, "sockets", Number.class, DEFAULT_MAX_SOCKETS).intValue(), site,
                    HostList.parse(known, site));
        } catch (NumberFormatException e) {
            throw new ConfigException("'seed' is not a hexadecimal number");
        }
    }
}
