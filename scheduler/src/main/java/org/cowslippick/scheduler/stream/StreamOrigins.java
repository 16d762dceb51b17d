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
    private final Map<Key, Entry> entries = new LinkedHashMap<>();

    /** Creates a table that keeps each origin for the window, in which a caller can resume the stream. */
    public StreamOrigins(LongSupplier windowNanos) {
        this.windowNanos = windowNanos;
    }

    /**
     * Records an origin, and forgets old ones. Of a stream that is recorded with two versions, none is known to be right.
     *
     * @return whether nothing was known of the stream
     */
    public boolean record(StreamOrigin origin, long nowNanos) {
        Key key = new Key(origin.service(), origin.stream());
        Entry known = entries.get(key);
        if (known == null) {
            forgetOld(nowNanos);
            entries.put(key, new Entry(Optional.of(origin.softwareVersion()), nowNanos));
            return true;
        }
        if (known.version()
                .filter(version -> !version.equals(origin.softwareVersion()))
                .isPresent()) {
            entries.put(key, new Entry(Optional.empty(), known.atNanos()));
        }
        return false;
    }

    /** The version that has begun the stream; empty if it is unknown. */
    public Optional<String> find(ServiceName service, long stream) {
        return Optional.ofNullable(entries.get(new Key(service, stream))).flatMap(Entry::version);
    }

    public int size() {
        return entries.size();
    }

    /** Entries are in the order of their first recording. */
    private void forgetOld(long nowNanos) {
        long window = windowNanos.getAsLong();
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext() && (nowNanos - oldest.next().atNanos() > window || entries.size() >= MAXIMUM_ENTRIES)) {
            oldest.remove();
        }
    }

    private record Key(ServiceName service, long stream) {}

    /** An origin; without a version if two have been recorded. */
    private record Entry(Optional<String> version, long atNanos) {}
}
