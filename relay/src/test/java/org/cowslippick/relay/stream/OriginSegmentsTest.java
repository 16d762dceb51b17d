package org.cowslippick.relay.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.LongStream;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.stream.StreamOrigin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OriginSegmentsTest {

    private static final InstanceName SELF = new InstanceName("front-1");
    private static final long SPAN_NANOS = OriginSegments.MINIMUM_SPAN.toNanos();
    private static final long WINDOW_NANOS = 4 * SPAN_NANOS;
    private static final long STEP_NANOS = Duration.ofMillis(250).toNanos();

    private final Map<Integer, OriginSegment> stored = new HashMap<>();

    private static StreamOrigin origin(long stream) {
        return new StreamOrigin(new ServiceName("model"), stream, "v1");
    }

    private OriginSegments restarted(long nowNanos) {
        OriginSegments segments = new OriginSegments(SELF);
        assertFalse(segments.isPositioned());
        segments.continueAfter(ImmutableList.copyOf(stored.values()), nowNanos);
        assertTrue(segments.isPositioned());
        return segments;
    }

    private OriginSegment add(OriginSegments segments, long stream, long nowNanos, long windowNanos) {
        OriginSegment segment = segments.add(ImmutableList.of(origin(stream)), nowNanos, windowNanos);
        stored.put(segment.number(), segment);
        return segment;
    }

    @Test
    void aSegmentHoldsAllOriginsOfItsSpan() {
        OriginSegments segments = restarted(0);
        add(segments, 1, 0, WINDOW_NANOS);
        ImmutableList<StreamOrigin> both = ImmutableList.of(origin(1), origin(2));
        assertEquals(new OriginSegment(SELF, 0, 0, both), add(segments, 2, SPAN_NANOS - 1, WINDOW_NANOS));
        assertEquals(
                new OriginSegment(SELF, 1, 1, ImmutableList.of(origin(3))), add(segments, 3, SPAN_NANOS, WINDOW_NANOS));
    }

    @Test
    void aRestartedProcessGoesOnAfterItsHighestSequence() {
        ImmutableList<StreamOrigin> none = ImmutableList.of();
        int last = OriginSegments.SEGMENTS - 1;
        long highest = 2L * OriginSegments.SEGMENTS;
        stored.put(0, new OriginSegment(SELF, 0, highest, none));
        stored.put(last, new OriginSegment(SELF, last, highest - 1, none));
        stored.put(last + 1, new OriginSegment(new InstanceName("front-2"), 3, 99, none));
        OriginSegment segment = add(restarted(0), 1, 0, WINDOW_NANOS);
        assertEquals(highest + 1, segment.sequence());
        assertEquals(1, segment.number());
    }

    /** Guards against an origin that is overwritten while its stream can still be resumed, also by restarts. */
    @ParameterizedTest
    @ValueSource(longs = {5, 16, 20, 60, 600})
    void theStoreHoldsAllOriginsOfTheWindow(long windowSeconds) {
        long windowNanos = Duration.ofSeconds(windowSeconds).toNanos();
        OriginSegments segments = restarted(0);
        Map<StreamOrigin, Long> recorded = new LinkedHashMap<>();
        for (long step = 1; step * STEP_NANOS < 4 * windowNanos; step++) {
            long now = step * STEP_NANOS;
            // Four restarts in quick succession, and then none for longer than a window.
            if (step % (6 * windowSeconds) < 8 && step % 2 == 0) {
                segments = restarted(now);
            }
            add(segments, step, now, windowNanos);
            recorded.put(origin(step), now);
            recorded.values().removeIf(nanos -> now - nanos > windowNanos);
            ImmutableSet<StreamOrigin> held = stored.values().stream()
                    .flatMap(segment -> segment.origins().stream())
                    .collect(ImmutableSet.toImmutableSet());
            assertTrue(held.containsAll(recorded.keySet()), "at step " + step);
        }
    }

    /** Guards against origins of a former process that are written again without end. */
    @Test
    void formerOriginsAreNotTakenOverAfterTheWindow() {
        stored.put(0, new OriginSegment(SELF, 0, 0, ImmutableList.of(origin(1))));
        OriginSegments segments = restarted(0);
        LongStream.rangeClosed(1, OriginSegments.SEGMENTS)
                .forEach(span -> add(segments, 1 + span, span * SPAN_NANOS, WINDOW_NANOS));
        assertEquals(
                ImmutableList.of(origin(1 + OriginSegments.SEGMENTS)),
                stored.get(0).origins());
    }

    @Test
    void theOldestAreDroppedBeyondTheBound() {
        OriginSegments segments = restarted(0);
        ImmutableList<StreamOrigin> origins = LongStream.rangeClosed(0, OriginSegments.MAXIMUM_ORIGINS)
                .mapToObj(OriginSegmentsTest::origin)
                .collect(ImmutableList.toImmutableList());
        assertEquals(
                origins.subList(1, origins.size()),
                segments.add(origins, 0, WINDOW_NANOS).origins());
    }
}
