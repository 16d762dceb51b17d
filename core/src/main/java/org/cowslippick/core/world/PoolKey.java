package org.cowslippick.core.world;

/** Identifies the part of a pool in one region, whose endpoints share one queue. */
public record PoolKey(PoolName pool, Region region) implements Comparable<PoolKey> {

    @Override
    public int compareTo(PoolKey other) {
        int byPool = pool.compareTo(other.pool);
        return byPool != 0 ? byPool : region.compareTo(other.region);
    }

    @Override
    public String toString() {
        return pool + "@" + region;
    }
}
