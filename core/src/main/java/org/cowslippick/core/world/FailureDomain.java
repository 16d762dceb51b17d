package org.cowslippick.core.world;

/** A part of a region whose instances can fail together. */
public record FailureDomain(String name, Region region) {

    public FailureDomain {
        Names.check("failure domain", name);
    }
}
