package org.cowslippick.core.world;

/** A group of failure domains that are well under a millisecond apart. */
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
