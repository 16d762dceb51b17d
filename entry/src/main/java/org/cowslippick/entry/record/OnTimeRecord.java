package org.cowslippick.entry.record;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.OrganisationName;

/** Counts the requests that ended at this entry since it started; counts unused for a day are evicted. */
public final class OnTimeRecord {

    private static final int MAXIMUM_COUNTS = 20_000;
    private static final Duration RETENTION = Duration.ofDays(1);

    private final Instant since;
    private final Cache<RecordKey, Counts> counts;

    /** Creates an empty record that starts now. */
    public OnTimeRecord(TimerService timer) {
        this.since = timer.now();
        this.counts = Caffeine.newBuilder()
                .maximumSize(MAXIMUM_COUNTS)
                .expireAfterAccess(RETENTION)
                .ticker(timer::nanoTime)
                .build();
    }

    /** Counts a complete answer. */
    public void recordAnswer(RecordKey key, boolean isOnTime) {
        counts.get(key, _absent -> new Counts()).recordAnswer(isOnTime);
    }

    /** Counts a request that ended without a complete answer. */
    public void recordFailure(RecordKey key, ErrorKind kind) {
        counts.get(key, _absent -> new Counts()).recordFailure(kind);
    }

    /** The instant from which requests are counted. */
    public Instant since() {
        return since;
    }

    /** The counts of an organisation, ordered by service and tier. */
    public ImmutableList<RecordLine> lines(OrganisationName organisation) {
        return counts.asMap().entrySet().stream()
                .filter(entry -> entry.getKey().organisation().equals(organisation))
                .map(entry -> entry.getValue().line(entry.getKey()))
                .sorted(Comparator.comparing((RecordLine line) -> line.key().service())
                        .thenComparing(line -> line.key().tier()))
                .collect(ImmutableList.toImmutableList());
    }

    private static final class Counts {
        private final Map<ErrorKind, Long> failed = new EnumMap<>(ErrorKind.class);
        private long onTime;
        private long late;

        synchronized void recordAnswer(boolean isOnTime) {
            onTime += isOnTime ? 1 : 0;
            late += isOnTime ? 0 : 1;
        }

        synchronized void recordFailure(ErrorKind kind) {
            failed.merge(kind, 1L, Long::sum);
        }

        synchronized RecordLine line(RecordKey key) {
            return new RecordLine(key, onTime, late, ImmutableSortedMap.copyOf(failed));
        }
    }
}
