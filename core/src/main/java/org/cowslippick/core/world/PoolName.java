package org.cowslippick.core.world;

/** The name of a pool: a group of endpoints that serve the same requests and share one queue per region. */
public record PoolName(String value) implements Comparable<PoolName> {

    public PoolName {
        Names.check("pool", value);
    }

    @Override
    public int compareTo(PoolName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
