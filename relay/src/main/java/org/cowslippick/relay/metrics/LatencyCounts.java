package org.cowslippick.relay.metrics;

import com.google.common.collect.ImmutableList;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot.HistogramDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import java.time.Duration;

/** Counts of durations by bucket. */
final class LatencyCounts {

    private static final ImmutableList<Duration> UPPER_BOUNDS = ImmutableList.of(
            Duration.ofMillis(5),
            Duration.ofMillis(20),
            Duration.ofMillis(50),
            Duration.ofMillis(100),
            Duration.ofMillis(200),
            Duration.ofMillis(400),
            Duration.ofMillis(800),
            Duration.ofMillis(1_600),
            Duration.ofSeconds(4),
            Duration.ofSeconds(15));
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final long[] counts = new long[UPPER_BOUNDS.size() + 1];
    private long sumNanos;

    void add(Duration duration) {
        int bucket = 0;
        while (bucket < UPPER_BOUNDS.size() && duration.compareTo(UPPER_BOUNDS.get(bucket)) > 0) {
            bucket++;
        }
        counts[bucket]++;
        sumNanos += duration.toNanos();
    }

    HistogramDataPointSnapshot snapshot(Labels labels) {
        ClassicHistogramBuckets.Builder buckets = ClassicHistogramBuckets.builder();
        for (int index = 0; index < UPPER_BOUNDS.size(); index++) {
            buckets.bucket(UPPER_BOUNDS.get(index).toNanos() / NANOSECONDS_PER_SECOND, counts[index]);
        }
        buckets.bucket(Double.POSITIVE_INFINITY, counts[UPPER_BOUNDS.size()]);
        return HistogramDataPointSnapshot.builder()
                .labels(labels)
                .classicHistogramBuckets(buckets.build())
                .sum(sumNanos / NANOSECONDS_PER_SECOND)
                .build();
    }
}
