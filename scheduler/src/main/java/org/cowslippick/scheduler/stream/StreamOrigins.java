package org.cowslippick.scheduler.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cowslippick.core.world.ServiceName;

/** The origins of recent streams, as far as this instance has learned them. */
public final class StreamOrigins {

    private static final int MAXIMUM_ENTRIES = 100_000;

    private final LongSupplier windowNanos;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    /** Creates a table that keeps each origin for the window after its last recording. */
    public StreamOrigins(LongSupplier windowNanos) {
        this.windowNanos = windowNanos;
    }

    /**
     * Records an origin, and forgets old ones. Of a stream that is recorded with two origins, none is known to be right.
     *
     * @return whether nothing was known of the stream
     */
    public boolean record(StreamOrigin origin, long nowNanos) {
        forgetOld(nowNanos);
        Entry known = entries.remove(origin.stream());
        boolean isContradictory = known != null && !known.origin().equals(Optional.of(origin));
        entries.put(origin.stream(), new Entry(isContradictory ? Optional.empty() : Optional.of(origin), nowNanos));
        return known == null;
    }

    /** The version of the service that has begun the stream; empty if it is unknown. */
    public Optional<String> find(ServiceName service, long stream) {
        return Optional.ofNullable(entries.get(stream))
                .flatMap(Entry::origin)
                .filter(origin -> origin.service().equals(service))
                .map(StreamOrigin::softwareVersion);
    }

    /** Whether the stream began elsewhere than in the service, or is recorded with two origins. */
    public boolean isContradictory(ServiceName service, long stream) {
        return entries.containsKey(stream) && find(service, stream).isEmpty();
    }

    public int size() {
        return entries.size();
    }

    /** Entries are in the order of their last recording. */
    private void forgetOld(long nowNanos) {
        long window = windowNanos.getAsLong();
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext() && (nowNanos - oldest.next().atNanos() > window || entries.size() >= MAXIMUM_ENTRIES)) {
            oldest.remove();
        }
    }

    /** An origin; empty if two have been recorded. */
    private record Entry(Optional<StreamOrigin> origin, long atNanos) {}
}
