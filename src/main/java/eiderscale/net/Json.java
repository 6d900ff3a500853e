package eiderscale.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Typed access to parsed JSON; a missing or mistyped value is a {@link ConfigException} with a one-line message. */
final class Json {
    private Json() {
    }

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

    static <T> T get(Map<?, ?> object, String name, Class<T> type) {
        Object value = object.get(name);
        if (!type.isInstance(value)) {
            throw new ConfigException("'" + name + "' is missing or not of type " + type.getSimpleName());
        }
        return type.cast(value);
    }

    /** Returns the default if the value is missing or null. */
    static <T> T get(Map<?, ?> object, String name, Class<T> type, T defaultValue) {
        return object.get(name) == null ? defaultValue : get(object, name, type);
    }

    static Map<?, ?> object(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new ConfigException("a list has an element that is not an object");
    }

    /** Returns the named list, empty if it is missing. */
    static List<?> list(Map<?, ?> object, String name) {
        return get(object, name, List.class, List.of());
    }
}
