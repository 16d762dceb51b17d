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

/** Counts the ended requests of this entry since it started, for organisations that were active in the last day. */
public final class OnTimeRecord {

    private static final int MAXIMUM_LINES = 20_000;
    private static final Duration KEPT = Duration.ofDays(1);

    private final Instant since;
    private final Cache<RecordKey, Counts> counts;

    /** Creates an empty record that starts now. */
    public OnTimeRecord(TimerService timer) {
        this.since = timer.now();
        this.counts = Caffeine.newBuilder()
                .maximumSize(MAXIMUM_LINES)
                .expireAfterAccess(KEPT)
                .ticker(timer::nanoTime)
                .build();
    }

    /** Counts a whole answer. */
    public void answered(RecordKey key, boolean kept) {
        counts.get(key, _absent -> new Counts()).answered(kept);
    }

    /** Counts a request without a whole answer. */
    public void failed(RecordKey key, ErrorKind kind) {
        counts.get(key, _absent -> new Counts()).failed(kind);
    }

    /** When this record starts. */
    public Instant since() {
        return since;
    }

    /** The lines of an organisation, by service and tier. */
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

        synchronized void answered(boolean kept) {
            onTime += kept ? 1 : 0;
            late += kept ? 0 : 1;
        }

        synchronized void failed(ErrorKind kind) {
            failed.merge(kind, 1L, Long::sum);
        }

        synchronized RecordLine line(RecordKey key) {
            return new RecordLine(key, onTime, late, ImmutableSortedMap.copyOf(failed));
        }
    }
}
