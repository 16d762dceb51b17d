package org.cowslippick.standin.engine;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A prefix cache with least-recently-used eviction that logs every change as an event. */
final class PrefixCache {

    private static final int MAXIMUM_RETAINED_EVENTS = 1000;

    private final int capacity;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheEvent> events = new ArrayList<>();
    private long lastSequence;

    PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    record CacheEvent(long sequence, String kind, String prefix) {}

    /** Returns the number of leading blocks of a prompt that are cached. */
    int cachedBlocks(ImmutableList<Long> prefixHashes) {
        return (int) prefixHashes.stream().takeWhile(blocks::containsKey).count();
    }

    void store(ImmutableList<Long> prefixHashes) {
        prefixHashes.forEach(this::store);
    }

    /** Returns the retained events after a sequence number. */
    ImmutableList<CacheEvent> eventsAfter(long sequence) {
        return events.stream().filter(event -> event.sequence() > sequence).collect(ImmutableList.toImmutableList());
    }

    long oldestRetainedSequence() {
        return events.isEmpty() ? lastSequence : events.get(0).sequence();
    }

    long lastSequence() {
        return lastSequence;
    }

    private void store(Long hash) {
        if (blocks.put(hash, true) == null) {
            addEvent("stored", hash);
        }
        if (blocks.size() > capacity) {
            Map.Entry<Long, Boolean> eldest = blocks.entrySet().iterator().next();
            blocks.remove(eldest.getKey());
            addEvent("evicted", eldest.getKey());
        }
    }

    private void addEvent(String kind, Long hash) {
        lastSequence++;
        events.add(new CacheEvent(lastSequence, kind, Long.toHexString(hash)));
        if (events.size() > MAXIMUM_RETAINED_EVENTS) {
            events.remove(0);
        }
    }
}
