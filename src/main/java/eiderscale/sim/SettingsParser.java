package eiderscale.sim;

import eiderscale.Api;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Parses settings lines of the form {@code key=value} into {@link Api.Settings}. Lists are written as
 * {@code tenants.count=N} and keys such as {@code tenants.0.fraction}; keys that end in {@code -ns} are nanoseconds.
 *
 * <p>Lines without a key and unknown keys are ignored. A missing key gets a safe default: an effect that forbids
 * repeats, no duplicate requests, no cancelling, one attempt, the slowest warm-up. An empty number counts as missing.
 */
public final class SettingsParser {
    private static final long NS_PER_SECOND = 1_000_000_000L;
    private static final long DEFAULT_DEADLINE_NS = NS_PER_SECOND;
    /** Capacity of a host at its start, as a fraction of its full capacity. */
    private static final double DEFAULT_COLD_CAPACITY_FRACTION = 0.1;
    /** Load limit of a host that is warming up, as a multiple of its present capacity. */
    private static final double DEFAULT_TIP_MULTIPLE = 2;
    private static final long DEFAULT_KEY_QUIET_NS = NS_PER_SECOND;
    /** Sliding window of the retry budget. */
    private static final long DEFAULT_BUDGET_WINDOW_NS = 10 * NS_PER_SECOND;
    /** A list with more items than this is treated as corrupt. */
    private static final int MAX_LIST_ITEMS = 10_000;

    private final Map<String, String> valuesByKey = new HashMap<>();

    private SettingsParser(String text) {
        for (String line : text.split("\n")) {
            int separatorIndex = line.indexOf('=');
            if (separatorIndex > 0) {
                valuesByKey.put(line.substring(0, separatorIndex).trim(), line.substring(separatorIndex + 1).trim());
            }
        }
    }

    /**
     * Parses settings. The simulator adapter and the network balancer both use this method, so that the same settings
     * mean the same to both.
     *
     * @throws MalformedInputException if a number is invalid or not finite, or the length of a list is out of range
     */
    public static Api.Settings parse(String text) {
        return new SettingsParser(text).buildSettings();
    }

    private Api.Settings buildSettings() {
        List<Api.RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < getItemCount("categories.count"); i++) {
            classes.add(buildRequestClass("categories." + i + "."));
        }
        List<Api.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < getItemCount("tenants.count"); i++) {
            tenants.add(new Api.Tenant(getDouble("tenants." + i + ".allowance-per-s", 0),
                    getDouble("tenants." + i + ".fraction", 1)));
        }
        List<String> reportFields = Arrays.asList(getString("load-report.fields", "").split(","));
        return new Api.Settings(List.copyOf(classes), List.copyOf(tenants), (int) getLong("my-zone", 0),
                (int) getLong("rank", 0), (int) Math.max(1, getLong("n-instances", 1)),
                getString("family-info.mode", "through").equals("aside"),
                (int) getLong("family-info.origin-kind", -1),
                getString("discovery", "automatic").equals("subscribe"),
                (int) getLong("ceilings.max-attempts", 1), getBoolean("ceilings.may-duplicate"),
                getBoolean("ceilings.cancelling"), getBoolean("ceilings.retry-after"),
                getLong("ceilings.max-retry-after-ns", 0),
                getLong("guarantees.stop-sending-within-ns", 0),
                getLong("guarantees.ask-within-ns", 10 * NS_PER_SECOND),
                getDouble("guarantees.cold-from", DEFAULT_COLD_CAPACITY_FRACTION),
                getLong("guarantees.warm-within-ns", 30 * NS_PER_SECOND),
                getDouble("guarantees.tip-multiple", DEFAULT_TIP_MULTIPLE),
                Math.max(1, getLong("guarantees.fall-ns", NS_PER_SECOND)), getDouble("over-share-worth", 1),
                getLong("guarantees.key-quiet-ns", DEFAULT_KEY_QUIET_NS), buildRetryBudget(),
                new Api.LoadReportLayout(reportFields.indexOf("rif"), reportFields.indexOf("q"),
                        reportFields.indexOf("busy")));
    }

    private Api.RequestClass buildRequestClass(String keyPrefix) {
        long deadlineNs = getLong(keyPrefix + "deadline-ns", DEFAULT_DEADLINE_NS);
        Api.Effect effect = switch (getString(keyPrefix + "effect", "fragile")) {
            case "retryable" -> Api.Effect.IDEMPOTENT;
            case "dedup" -> Api.Effect.DEDUPLICATED;
            default -> Api.Effect.NON_IDEMPOTENT;
        };
        Api.Group group = switch (getString(keyPrefix + "group", "cell").toLowerCase(Locale.ROOT)) {
            case "all" -> Api.Group.ALL;
            case "zone" -> Api.Group.ZONE;
            default -> Api.Group.CELL;
        };
        // A repeat must reach its host within the deduplication window. A connection may have to be established
        // first, so the connect timeout is subtracted.
        long dedupWindowNs = Math.max(0,
                getLong(keyPrefix + "window-ns", 0) - getLong("ceilings.connect-timeout-ns", 0));
        return new Api.RequestClass(Math.max(1, getLong(keyPrefix + "goal-time-ns", deadlineNs)),
                getDouble(keyPrefix + "aim-stretch", 0), deadlineNs, getDouble(keyPrefix + "worth", 1),
                getDouble(keyPrefix + "late-worth", 0), effect, group, dedupWindowNs,
                getBoolean(keyPrefix + "stream"), getBoolean(keyPrefix + "serial-by-key"));
    }

    /**
     * Returns the retry budget, or null if none of its keys is present. If one is present, even without a value, a
     * missing allowance is 0.
     */
    private Api.RetryBudget buildRetryBudget() {
        boolean isConfigured = valuesByKey.containsKey("guarantees.budget-free")
                || valuesByKey.containsKey("guarantees.repeat-ratio")
                || valuesByKey.containsKey("guarantees.resend-span-ns");
        return isConfigured ? new Api.RetryBudget(getDouble("guarantees.budget-free", 0),
                getDouble("guarantees.repeat-ratio", 0),
                getLong("guarantees.resend-span-ns", DEFAULT_BUDGET_WINDOW_NS)) : null;
    }

    /** The length of a list, from 0 to {@link #MAX_LIST_ITEMS}. */
    private int getItemCount(String key) {
        long itemCount = getLong(key, 0);
        if (itemCount < 0 || itemCount > MAX_LIST_ITEMS) {
            throw new MalformedInputException("setting " + key + " is out of range: " + itemCount);
        }
        return (int) itemCount;
    }

    private String getString(String key, String defaultValue) {
        return valuesByKey.getOrDefault(key, defaultValue);
    }

    /** True only if the value is {@code true}. */
    private boolean getBoolean(String key) {
        return getString(key, "false").equals("true");
    }

    /** Also accepts decimal and exponent notation such as {@code 1.5e9}; a fractional part is dropped. */
    private long getLong(String key, long defaultValue) {
        String value = valuesByKey.get(key);
        try {
            return value == null || value.isEmpty() ? defaultValue : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return (long) getDouble(key, defaultValue);
        }
    }

    private double getDouble(String key, double defaultValue) {
        String value = valuesByKey.get(key);
        if (value == null || value.isEmpty()) {
            return defaultValue;
        }
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, together with numbers that are not finite.
        }
        throw new MalformedInputException("setting " + key + " is not a finite number: " + value);
    }
}
