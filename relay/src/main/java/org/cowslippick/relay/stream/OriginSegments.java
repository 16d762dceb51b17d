package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.scheduler.stream.StreamOrigin;

/**
 * The ring of segments of one instance. A segment collects the origins of a span of time and is written again whenever
 * one is added; then the next sequence overwrites the oldest segment, at a time when all its origins are older than the
 * window. What a former process has written is of unknown age, so that it is taken over into the segment that overwrites
 * it until a window has passed since it was read.
 */
final class OriginSegments {

    static final int SEGMENTS = 24;
    static final Duration MINIMUM_SPAN = Duration.ofSeconds(1);

    /** Bounds the memory; the oldest are dropped. */
    static final int MAXIMUM_ORIGINS = 100_000;

    /** One more span than these passes before a segment is overwritten. */
    private static final int SPANS_IN_WINDOW = SEGMENTS - 2;

    private final InstanceName self;
    private final Set<StreamOrigin> current = new LinkedHashSet<>();
    private ImmutableMap<Integer, OriginSegment> former = ImmutableMap.of();
    private long positionedNanos;
    private boolean isPositioned;
    private long sequence;
    private boolean isOpen;
    private long openedNanos;

    OriginSegments(InstanceName self) {
        this.self = self;
    }

    /** Whether the place in the ring is known. */
    boolean isPositioned() {
        return isPositioned;
    }

    /** Goes on after the segments of a former process, unless the place is known. */
    void continueAfter(ImmutableList<OriginSegment> stored, long nowNanos) {
        if (isPositioned) {
            return;
        }
        isPositioned = true;
        positionedNanos = nowNanos;
        former = stored.stream()
                .filter(segment -> segment.instance().equals(self))
                .sorted(Comparator.comparingLong(OriginSegment::sequence))
                .collect(ImmutableMap.toImmutableMap(
                        OriginSegment::number, segment -> segment, (_older, newer) -> newer));
        sequence = former.values().stream()
                .mapToLong(OriginSegment::sequence)
                .max()
                .orElse(-1);
    }

    /** The segment to write so that the store holds the given origins too, which are in order of time. */
    OriginSegment add(ImmutableList<StreamOrigin> origins, long nowNanos, long windowNanos) {
        long spanNanos = Math.max(MINIMUM_SPAN.toNanos(), windowNanos / SPANS_IN_WINDOW);
        if (!isOpen || nowNanos - openedNanos >= spanNanos) {
            openNext(nowNanos, windowNanos);
        }
        current.addAll(origins);
        dropOldest();
        return new OriginSegment(self, number(), sequence, ImmutableList.copyOf(current));
    }

    private void openNext(long nowNanos, long windowNanos) {
        if (nowNanos - positionedNanos > windowNanos) {
            former = ImmutableMap.of();
        }
        isOpen = true;
        openedNanos = nowNanos;
        sequence++;
        current.clear();
        current.addAll(formerOrigins());
    }

    private ImmutableSet<StreamOrigin> formerOrigins() {
        OriginSegment overwritten = former.get(number());
        return overwritten == null ? ImmutableSet.of() : ImmutableSet.copyOf(overwritten.origins());
    }

    private void dropOldest() {
        Iterator<StreamOrigin> oldestFirst = current.iterator();
        while (current.size() > MAXIMUM_ORIGINS) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    private int number() {
        return Math.floorMod(sequence, SEGMENTS);
    }
}
