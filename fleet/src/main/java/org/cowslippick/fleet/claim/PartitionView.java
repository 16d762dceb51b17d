package org.cowslippick.fleet.claim;

import java.util.OptionalLong;

/**
 * What was last known of a partition's object.
 *
 * @param version its version, or empty if there is no object yet
 */
public record PartitionView(OptionalLong version, PartitionState state) {

    public static final PartitionView ABSENT = new PartitionView(OptionalLong.empty(), PartitionState.EMPTY);
}
