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
 * Maps prefix hashes to the endpoints that last computed or stored them. Matches are hints: cache events arrive late
 * and with gaps, so a match may be wrong, and then costs one ordinary prefill. Only blocks at positions of a geometric
 * series are stored and looked up, so that a lookup takes logarithmic time in the prompt length. Memory is bounded by a
 * maximum number of prefixes with LRU eviction and a few endpoints per prefix.
 */
public final class PrefixIndex {

    private static final int ENDPOINTS_PER_PREFIX = 3;
    private static final int MAXIMUM_MATCHES = 3;

    private final Map<Long, Deque<Holder>> holders;
    private final Map<EndpointName, Integer> generations = new HashMap<>();

    private record Holder(EndpointName endpoint, int generation) {}

    /** Creates an index that holds at most {@code capacity} prefixes. */
    public PrefixIndex(int capacity) {
        this.holders = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Deque<Holder>> _eldest) {
                return size() > capacity;
            }
        };
    }

    /** Records that a request with these prefix hashes was dispatched to the endpoint. */
    public void recordDispatch(EndpointName endpoint, ImmutableList<Long> prefixHashes) {
        indexedPositions(prefixHashes.size()).forEach(position -> addHolder(endpoint, prefixHashes.get(position)));
    }

    /** Records that the endpoint reported a prefix as stored. */
    public void recordStored(EndpointName endpoint, long prefixHash) {
        addHolder(endpoint, prefixHash);
    }

    /** Records that the endpoint reported a prefix as evicted. */
    public void recordEvicted(EndpointName endpoint, long prefixHash) {
        Deque<Holder> found = holders.get(prefixHash);
        if (found == null) {
            return;
        }
        found.removeIf(holder -> holder.endpoint().equals(endpoint));
        if (found.isEmpty()) {
            holders.remove(prefixHash);
        }
    }

    /** Invalidates all entries of the endpoint, because eviction events may have been lost. */
    public void invalidate(EndpointName endpoint) {
        generations.merge(endpoint, 1, Integer::sum);
    }

    /** Returns the endpoints that probably hold the longest prefixes of the prompt, longest first. */
    public ImmutableList<PrefixMatch> longestMatches(ImmutableList<Long> prefixHashes) {
        int blocks = prefixHashes.size();
        Map<EndpointName, PrefixMatch> matches = new LinkedHashMap<>();
        indexedPositions(blocks)
                .boxed()
                .takeWhile(position -> holders.containsKey(prefixHashes.get(position)))
                .sorted((first, second) -> second - first)
                .takeWhile(_position -> matches.size() < MAXIMUM_MATCHES)
                .forEach(position -> holders.get(prefixHashes.get(position)).stream()
                        .filter(this::isCurrent)
                        .forEach(holder -> matches.putIfAbsent(
                                holder.endpoint(),
                                new PrefixMatch(holder.endpoint(), (position + 1) / (double) blocks))));
        return ImmutableList.copyOf(matches.values());
    }

    public int size() {
        return holders.size();
    }

    private void addHolder(EndpointName endpoint, long prefixHash) {
        Deque<Holder> found = holders.computeIfAbsent(prefixHash, _hash -> new ArrayDeque<>(ENDPOINTS_PER_PREFIX));
        found.removeIf(holder -> holder.endpoint().equals(endpoint));
        found.addFirst(new Holder(endpoint, generations.getOrDefault(endpoint, 0)));
        if (found.size() > ENDPOINTS_PER_PREFIX) {
            found.removeLast();
        }
    }

    private boolean isCurrent(Holder holder) {
        return holder.generation() == generations.getOrDefault(holder.endpoint(), 0);
    }

    /** Positions 0, 1, 2, 4, 7, 11, ..., growing by a factor of about 1.5. */
    private static IntStream indexedPositions(int blocks) {
        return IntStream.iterate(0, position -> position < blocks, position -> position + 1 + position / 2);
    }
}
