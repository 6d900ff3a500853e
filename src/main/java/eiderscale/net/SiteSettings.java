package eiderscale.net;

import eiderscale.Api;
import eiderscale.sim.SettingsParser;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The "settings" object of the configuration: the settings of the decision module, the indexes by which the module
 * knows request classes, tenants, zones, host kinds and load report fields, and the limits that only the network code
 * needs.
 */
final class SiteSettings {
    /** Maps names of load report fields on the wire to the names in the settings, where these differ. */
    private static final Map<String, String> REPORT_FIELD_ALIASES = Map.of("inflight", "rif", "queue", "q",
            "util", "busy", "latency_ms", "lat_ms", "qps", "rate", "eps", "fail_rate");
    private static final float[] NO_REPORT = {};

    /** The settings of the decision module. */
    final Api.Settings settings;
    /** Longest time for a connection to a cache host to be opened. */
    final long connectTimeoutNs;
    /** How long a connection may be idle before a cache host closes it. */
    final long idleTimeoutNs;
    /** Maximum number of open requests; further ones are refused. */
    final int maxOpenRequests;
    private final Map<String, Integer> requestClassIndexes;
    private final Map<String, Integer> tenantIndexes;
    private final Map<String, Integer> zoneIndexes;
    private final Map<String, Integer> kindIndexes;
    private final Map<String, Integer> reportFieldIndexes;

    /**
     * Reads the settings from parsed JSON.
     *
     * @throws ConfigException if they are invalid
     */
    SiteSettings(Map<?, ?> json) {
        Map<String, String> settingLines = new TreeMap<>();
        flatten("", json, settingLines);
        StringBuilder text = new StringBuilder();
        settingLines.forEach((path, value) -> text.append(path).append('=').append(value).append('\n'));
        try {
            settings = SettingsParser.parse(text.toString());
        } catch (RuntimeException e) {
            throw new ConfigException(e.getMessage());
        }
        if (settings.requestClasses().isEmpty()) {
            throw new ConfigException("the settings define no request class");
        }
        connectTimeoutNs = longSetting(settingLines, "ceilings.connect-timeout-ns", 250 * Clock.MILLISECOND);
        idleTimeoutNs = longSetting(settingLines, "ceilings.conn-idle-ns", 10 * Clock.SECOND);
        maxOpenRequests = (int) longSetting(settingLines, "ceilings.max-open", 20_000);
        if (longSetting(settingLines, "ceilings.multiplex", 1) < 1) {
            throw new ConfigException("'ceilings.multiplex' must allow at least one request per connection");
        }
        requestClassIndexes = indexByName(Json.list(json, "categories"), true);
        tenantIndexes = indexByName(Json.list(json, "tenants"), true);
        zoneIndexes = indexByName(Json.list(json, "zones"), false);
        kindIndexes = indexByName(Json.list(json, "kinds"), false);
        reportFieldIndexes =
                indexByName(Json.list(Json.get(json, "load-report", Map.class, Map.of()), "fields"), false);
    }

    /** Flattens JSON to settings lines as the simulator has them, so that both programs share a parser. */
    private static void flatten(String path, Object value, Map<String, String> settingLines) {
        if (value instanceof Map<?, ?> map) {
            String prefix = path.isEmpty() ? "" : path + ".";
            map.forEach((name, inner) -> flatten(prefix + name, inner, settingLines));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            settingLines.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), settingLines);
            }
        } else if (value instanceof List<?> list) {
            settingLines.put(path, String.join(",", list.stream().map(SiteSettings::formatScalar).toList()));
        } else if (value != null) {
            settingLines.put(path, formatScalar(value));
        }
    }

    /** Formats a value for a settings line. Whitespace and commas, which may separate values, become underscores. */
    private static String formatScalar(Object value) {
        return String.valueOf(value).replaceAll("[\\s,]", "_");
    }

    private static long longSetting(Map<String, String> settingLines, String path, long defaultValue) {
        try {
            String value = settingLines.get(path);
            return value == null ? defaultValue : (long) Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("setting " + path + " is not a number");
        }
    }

    /** Maps names to list positions; the names are the elements, or their "name" if the elements are objects. */
    private static Map<String, Integer> indexByName(List<?> list, boolean isObjectList) {
        List<String> names = new ArrayList<>();
        for (Object item : list) {
            names.add(isObjectList ? Json.get(Json.object(item), "name", String.class) : String.valueOf(item));
        }
        Map<String, Integer> indexes = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            indexes.put(names.get(i), i);
        }
        return indexes;
    }

    /** Whether a repeat might take effect again: the class is not idempotent, or only some hosts drop repeats. */
    boolean mustNotRunTwice(int classIndex) {
        Api.RequestClass requestClass = settings.requestClasses().get(classIndex);
        return requestClass.effect() == Api.Effect.NON_IDEMPOTENT
                || requestClass.effect() == Api.Effect.DEDUPLICATED && requestClass.dedupScope() != Api.Group.ALL;
    }

    /** Returns the index of a request class, or null if the settings do not define it. */
    Integer requestClassIndex(String name) {
        return requestClassIndexes.get(name);
    }

    /** Returns the index of a tenant, or null if the settings do not define it; if they define none, always 0. */
    Integer tenantIndex(String name) {
        return tenantIndexes.isEmpty() ? Integer.valueOf(0) : tenantIndexes.get(name);
    }

    /** Returns the index of a zone. An unknown zone gets a new index, which is not the own zone of any balancer. */
    int zoneIndex(String name) {
        return zoneIndexes.computeIfAbsent(name, unknown -> zoneIndexes.size());
    }

    /** Returns the index of a host kind (discovery's "model"). An unknown kind gets a new index. */
    int kindIndex(String name) {
        return kindIndexes.computeIfAbsent(name, unknown -> kindIndexes.size());
    }

    /** Returns the values of a load report in the order of the settings; none unless the report has all of them. */
    float[] parseReport(String text) {
        if (text == null || reportFieldIndexes.isEmpty()) {
            return NO_REPORT;
        }
        float[] report = new float[reportFieldIndexes.size()];
        int found = 0;
        for (String entry : text.split(",")) {
            int separator = entry.indexOf('=');
            String name = entry.substring(0, Math.max(0, separator));
            Integer index = reportFieldIndexes.get(REPORT_FIELD_ALIASES.getOrDefault(name, name));
            try {
                if (index != null) {
                    report[index] = Float.parseFloat(entry.substring(separator + 1));
                    found++;
                }
            } catch (NumberFormatException e) {
                return NO_REPORT;
            }
        }
        return found == report.length ? report : NO_REPORT;
    }
}
