package org.cowslippick.core.world;

/** Identifies one run of an instance's process; increases with every restart. */
public record Incarnation(long number) implements Comparable<Incarnation> {

    public Incarnation {
        if (number < 0) {
            throw new IllegalArgumentException("incarnation must not be negative: " + number);
        }
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(number, other.number);
    }
}
