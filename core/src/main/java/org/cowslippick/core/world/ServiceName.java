package org.cowslippick.core.world;

/** The name of a service that callers send requests to. */
public record ServiceName(String value) implements Comparable<ServiceName> {

    public ServiceName {
        Names.check("service", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
