package org.cowslippick.scheduler.prefix;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.IntStream;
import org.cowslippick.core.world.EndpointName;

/**
 * Maps prefix hashes to the endpoints that last computed or stored them. It only ever suggests: events of caches come
 * late and with gaps, so a suggestion may be wrong, and costs then a prefill like any other. Only blocks at positions
 * of a geometric series are kept and looked up, so that a long prompt costs the logarithm of its length. Memory is
 * bounded by a number of prefixes, the least recently used going first, and a few endpoints for each.
 */
public final class PrefixIndex {

    private static final int ENDPOINTS_PER_PREFIX = 3;
    private static final int SUGGESTIONS = 3;

    private final Map<Long, Deque<Holder>> holders;
    private final Map<EndpointName, Integer> generations = new HashMap<>();

    private record Holder(EndpointName endpoint, int generation) {}

    /** Creates an index of at most so many prefixes. */
    public PrefixIndex(int capacity) {
        this.holders = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Deque<Holder>> _eldest) {
                return size() > capacity;
            }
        };
    }

    /** A request with these prefix hashes was dispatched to the endpoint. */
    public void dispatched(EndpointName endpoint, ImmutableList<Long> prefixHashes) {
        positions(prefixHashes.size()).forEach(position -> store(endpoint, prefixHashes.get(position)));
    }

    /** The endpoint said that it holds a prefix. */
    public void stored(EndpointName endpoint, long prefixHash) {
        store(endpoint, prefixHash);
    }

    /** The endpoint said that it no longer holds a prefix. */
    public void evicted(EndpointName endpoint, long prefixHash) {
        Deque<Holder> found = holders.get(prefixHash);
        if (found == null) {
            return;
        }
        found.removeIf(holder -> holder.endpoint().equals(endpoint));
        if (found.isEmpty()) {
            holders.remove(prefixHash);
        }
    }

    /** Evictions of the endpoint may have been missed, so nothing known of it counts any more. */
    public void forget(EndpointName endpoint) {
        generations.merge(endpoint, 1, Integer::sum);
    }

    /** The endpoints that probably hold most of the prompt, the longest prefix first. */
    public ImmutableList<PrefixMatch> longest(ImmutableList<Long> prefixHashes) {
        int blocks = prefixHashes.size();
        Map<EndpointName, PrefixMatch> matches = new LinkedHashMap<>();
        positions(blocks)
                .boxed()
                .takeWhile(position -> holders.containsKey(prefixHashes.get(position)))
                .sorted((first, second) -> second - first)
                .takeWhile(_position -> matches.size() < SUGGESTIONS)
                .forEach(position -> holders.get(prefixHashes.get(position)).stream()
                        .filter(this::current)
                        .forEach(holder -> matches.putIfAbsent(
                                holder.endpoint(),
                                new PrefixMatch(holder.endpoint(), (position + 1) / (double) blocks))));
        return ImmutableList.copyOf(matches.values());
    }

    /** How many prefixes are kept. */
    public int size() {
        return holders.size();
    }

    private void store(EndpointName endpoint, long prefixHash) {
        Deque<Holder> found = holders.computeIfAbsent(prefixHash, _hash -> new ArrayDeque<>(ENDPOINTS_PER_PREFIX));
        found.removeIf(holder -> holder.endpoint().equals(endpoint));
        found.addFirst(new Holder(endpoint, generations.getOrDefault(endpoint, 0)));
        if (found.size() > ENDPOINTS_PER_PREFIX) {
            found.removeLast();
        }
    }

    private boolean current(Holder holder) {
        return holder.generation() == generations.getOrDefault(holder.endpoint(), 0);
    }

    /** Positions 0, 1, 2, 4, 6, 10, ..., each about half as far again as the one before. */
    private static IntStream positions(int blocks) {
        return IntStream.iterate(0, position -> position < blocks, position -> position + 1 + position / 2);
    }
}
