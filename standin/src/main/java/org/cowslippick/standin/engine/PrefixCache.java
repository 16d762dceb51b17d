package org.cowslippick.standin.engine;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The least recently used prompt blocks leave first; every change makes an event. */
final class PrefixCache {

    private static final int EVENTS_KEPT = 1000;

    private final int capacity;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheEvent> events = new ArrayList<>();
    private long next;

    PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    record CacheEvent(long sequence, String kind, String prefix) {}

    /** How many leading blocks of a prompt are cached. */
    int cachedBlocks(ImmutableList<Long> prefixHashes) {
        return (int) prefixHashes.stream().takeWhile(blocks::containsKey).count();
    }

    void store(ImmutableList<Long> prefixHashes) {
        prefixHashes.forEach(this::store);
    }

    /** The events after a sequence number that are still remembered. */
    ImmutableList<CacheEvent> eventsAfter(long sequence) {
        return events.stream().filter(event -> event.sequence() > sequence).collect(ImmutableList.toImmutableList());
    }

    long firstRemembered() {
        return events.isEmpty() ? next : events.get(0).sequence();
    }

    long last() {
        return next;
    }

    private void store(Long hash) {
        if (blocks.put(hash, true) == null) {
            event("stored", hash);
        }
        if (blocks.size() > capacity) {
            Map.Entry<Long, Boolean> eldest = blocks.entrySet().iterator().next();
            blocks.remove(eldest.getKey());
            event("evicted", eldest.getKey());
        }
    }

    private void event(String kind, Long hash) {
        next++;
        events.add(new CacheEvent(next, kind, Long.toHexString(hash)));
        if (events.size() > EVENTS_KEPT) {
            events.remove(0);
        }
    }
}
