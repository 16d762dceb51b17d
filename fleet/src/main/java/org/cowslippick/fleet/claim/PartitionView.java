package org.cowslippick.fleet.claim;

import java.util.OptionalLong;

/**
 * The last known state of a partition's object.
 *
 * @param version the object's version; empty if the object does not exist
 */
public record PartitionView(OptionalLong version, PartitionState state) {

    public static final PartitionView ABSENT = new PartitionView(OptionalLong.empty(), PartitionState.EMPTY);
}
