package org.cowslippick.fleet.platform;

/** The kind and name of an object. */
public record ObjectKey(String kind, String name) {

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
