package org.cowslippick.core.world;

/** The name of an endpoint, unique in the settings tree. */
public record EndpointName(String value) implements Comparable<EndpointName> {

    public EndpointName {
        Names.check("endpoint", value);
    }

    @Override
    public int compareTo(EndpointName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
