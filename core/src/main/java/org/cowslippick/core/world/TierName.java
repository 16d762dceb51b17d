package org.cowslippick.core.world;

/** The name of a service tier. */
public record TierName(String value) implements Comparable<TierName> {

    public TierName {
        Names.check("tier", value);
    }

    @Override
    public int compareTo(TierName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
