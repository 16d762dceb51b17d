package org.cowslippick.core.world;

/** One run of a process: a restarted instance has a higher incarnation than before. */
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
