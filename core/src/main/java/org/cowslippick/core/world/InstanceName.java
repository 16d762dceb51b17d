package org.cowslippick.core.world;

/** The name of an instance that runs an entry process. */
public record InstanceName(String value) implements Comparable<InstanceName> {

    public InstanceName {
        Names.check("instance", value);
    }

    @Override
    public int compareTo(InstanceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
