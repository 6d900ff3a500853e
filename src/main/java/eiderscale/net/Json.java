package eiderscale.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Typed access to parsed JSON. A required value that is missing, or one of the wrong type, is reported by a
 * {@link ConfigException}.
 */
final class Json {
    private Json() {
    }

    /** Parses a JSON object from UTF-8 text; the exception's message is one line. */
    static Map<?, ?> parse(byte[] text) {
        try {
            Map<?, ?> object = JSON.std.mapFrom(new String(text, StandardCharsets.UTF_8));
            if (object != null) {
                return object;
            }
            throw new ConfigException("not a JSON object: null");
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage());
            throw new ConfigException("not a JSON object: " + reason.lines().findFirst().orElse(""));
        }
    }

    /** Returns a required value. */
    static <T> T get(Map<?, ?> object, String name, Class<T> type) {
        Object value = object.get(name);
        if (!type.isInstance(value)) {
            throw new ConfigException("'" + name + "' is missing or not of type " + type.getSimpleName());
        }
        return type.cast(value);
    }

    /** Returns an optional value, or the default if it is missing or null. */
    static <T> T get(Map<?, ?> object, String name, Class<T> type, T defaultValue) {
        return object.get(name) == null ? defaultValue : get(object, name, type);
    }

    /** Returns an element of a list, which must be an object. */
    static Map<?, ?> object(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new ConfigException("a list has an element that is not an object");
    }

    /** Returns an optional list, which is empty if it is missing. */
    static List<?> list(Map<?, ?> object, String name) {
        return get(object, name, List.class, List.of());
    }
}
