package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.scheduler.stream.StreamOrigin;

/**
 * A part of the journal that an instance keeps of the streams whose slots it granted. Each instance has a fixed number of
 * segments, of which it overwrites the oldest.
 *
 * @param number the place of the segment among those of its instance, from 0
 * @param sequence grows from one segment of the instance to the next, also across its restarts
 */
public record OriginSegment(InstanceName instance, int number, long sequence, ImmutableList<StreamOrigin> origins) {}
