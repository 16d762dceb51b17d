package org.cowslippick.core.world;

/** The name of an organisation, unique in the settings tree. */
public record OrganisationName(String value) implements Comparable<OrganisationName> {

    public OrganisationName {
        Names.check("organisation", value);
    }

    @Override
    public int compareTo(OrganisationName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
