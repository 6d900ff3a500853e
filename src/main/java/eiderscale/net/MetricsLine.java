package eiderscale.net;

import java.util.Locale;

/** Builds the periodic metrics line: named figures, in groups that are separated by {@code |}. */
final class MetricsLine {
    private final StringBuilder text = new StringBuilder();

    /** Appends a count. */
    MetricsLine count(String name, long count) {
        text.append(name).append(' ').append(count).append(' ');
        return this;
    }

    /** Appends a duration, given in nanoseconds, as milliseconds. */
    MetricsLine millis(String name, double nanos) {
        text.append(String.format(Locale.ROOT, "%s %.1f ms ", name, nanos / Clock.MILLISECOND));
        return this;
    }

    /** Appends {@code failed/total}. */
    MetricsLine ratio(String name, long failed, long total) {
        text.append(name).append(' ').append(failed).append('/').append(total).append(' ');
        return this;
    }

    /** Ends a group of figures. */
    MetricsLine endGroup() {
        text.append("| ");
        return this;
    }

    /** Appends text that is formatted already. */
    MetricsLine append(String formatted) {
        text.append(formatted);
        return this;
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
