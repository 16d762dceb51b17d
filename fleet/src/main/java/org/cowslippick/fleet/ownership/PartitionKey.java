package org.cowslippick.fleet.ownership;

/** One of the parts into which a kind of work is divided among all entries of the fleet. */
public record PartitionKey(String kind, int number) {

    @Override
    public String toString() {
        return kind + "#" + number;
    }
}
