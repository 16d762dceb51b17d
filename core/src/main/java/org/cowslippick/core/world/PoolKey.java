package org.cowslippick.core.world;

/** The identity of one queue and its endpoints: a pool of endpoints within one region. */
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
