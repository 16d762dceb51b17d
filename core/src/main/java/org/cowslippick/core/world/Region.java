package org.cowslippick.core.world;

/** A group of failure domains with network latency well under a millisecond between them. */
public record Region(String name) implements Comparable<Region> {

    public Region {
        Names.check("region", name);
    }

    @Override
    public int compareTo(Region other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
