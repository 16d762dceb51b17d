package org.cowslippick.fleet.ownership;

/** One partition of a kind of work that is divided among all entries of the fleet. */
public record PartitionKey(String kind, int number) {

    @Override
    public String toString() {
        return kind + "#" + number;
    }
}
