package org.cowslippick.fleet.platform;

import java.util.Comparator;

/** The kind and name of an object. */
public record ObjectKey(String kind, String name) {

    public static final Comparator<ObjectKey> ORDER =
            Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name);

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
