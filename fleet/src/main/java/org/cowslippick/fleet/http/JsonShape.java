package org.cowslippick.fleet.http;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Arrays;
import java.util.Optional;

/**
 * What is read of a JSON value that others write. The rest is skipped, and so uses no memory however large it is. A value
 * of another type than expected is read as null.
 */
public final class JsonShape {

    /** A value that is read as a whole. */
    public static final JsonShape ANY = new JsonShape(true, Optional.empty(), Optional.empty());

    /** A number, a truth value or a text; a longer text than the maximum is read as null. */
    public static final JsonShape SCALAR = new JsonShape(false, Optional.empty(), Optional.empty());

    /** Well above the length of any name or address that is decoded. */
    static final int MAXIMUM_SCALAR_CHARACTERS = 4096;

    private final boolean isAny;
    private final Optional<ImmutableMap<String, JsonShape>> fields;
    private final Optional<JsonShape> element;

    private JsonShape(boolean isAny, Optional<ImmutableMap<String, JsonShape>> fields, Optional<JsonShape> element) {
        this.isAny = isAny;
        this.fields = fields;
        this.element = element;
    }

    /** An object of which only these fields are read. */
    public static JsonShape object(ImmutableMap<String, JsonShape> fields) {
        return new JsonShape(false, Optional.of(fields), Optional.empty());
    }

    /** An object of which only these fields are read, each with a scalar. */
    public static JsonShape scalars(String... names) {
        return object(Maps.toMap(Arrays.asList(names), _name -> SCALAR));
    }

    public static JsonShape list(JsonShape element) {
        return new JsonShape(false, Optional.empty(), Optional.of(element));
    }

    boolean isObject() {
        return isAny || fields.isPresent();
    }

    boolean isList() {
        return isAny || element.isPresent();
    }

    int maximumTextCharacters() {
        return isAny ? Integer.MAX_VALUE : MAXIMUM_SCALAR_CHARACTERS;
    }

    /** The shape of a field; empty if the field is skipped. */
    Optional<JsonShape> field(String name) {
        return isAny ? Optional.of(ANY) : fields.map(shapes -> shapes.get(name));
    }

    JsonShape element() {
        return element.orElse(ANY);
    }
}
