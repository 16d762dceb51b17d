package org.cowslippick.scheduler.prefix;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.world.EndpointName;
import org.junit.jupiter.api.Test;

class PrefixIndexTest {

    private static final int CAPACITY = 50;
    private static final EndpointName FIRST = new EndpointName("first");
    private static final EndpointName SECOND = new EndpointName("second");

    @Property(seed = "1", tries = 100)
    void returnsOnlyMatchesThatTheReferenceIndexHolds(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PrefixIndex index = new PrefixIndex(CAPACITY);
        Map<EndpointName, Set<Long>> reference = new HashMap<>();
        for (int step = 0; step < 300; step++) {
            EndpointName endpoint = new EndpointName("e" + random.nextInt(5));
            Set<Long> held = reference.computeIfAbsent(endpoint, _name -> new HashSet<>());
            ImmutableList<Long> prompt = prompt(random);
            switch (random.nextInt(6)) {
                case 0 -> {
                    index.recordEvicted(endpoint, prompt.get(0));
                    held.remove(prompt.get(0));
                }
                case 1 -> {
                    index.invalidate(endpoint);
                    held.clear();
                }
                default -> {
                    index.recordDispatch(endpoint, prompt);
                    held.addAll(prompt);
                }
            }
            check(index, reference, prompt(random));
        }
    }

    @Test
    void returnsTheLongestPrefixFirst() {
        PrefixIndex index = new PrefixIndex(CAPACITY);
        index.recordDispatch(FIRST, ImmutableList.of(1L, 2L, 30L));
        index.recordDispatch(SECOND, ImmutableList.of(1L, 2L, 3L));
        ImmutableList<PrefixMatch> matches = index.longestMatches(ImmutableList.of(1L, 2L, 3L));
        assertEquals(new PrefixMatch(SECOND, 1), matches.get(0));
        assertEquals(new PrefixMatch(FIRST, 2 / 3.0), matches.get(1));
    }

    @Test
    void returnsNoMatchForAnInvalidatedEndpoint() {
        PrefixIndex index = new PrefixIndex(CAPACITY);
        index.recordStored(FIRST, 1L);
        index.invalidate(FIRST);
        assertEquals(ImmutableList.of(), index.longestMatches(ImmutableList.of(1L)));
        index.recordStored(FIRST, 1L);
        assertEquals(ImmutableList.of(new PrefixMatch(FIRST, 1)), index.longestMatches(ImmutableList.of(1L)));
    }

    private static void check(PrefixIndex index, Map<EndpointName, Set<Long>> reference, ImmutableList<Long> prompt) {
        assertTrue(index.size() <= CAPACITY);
        index.longestMatches(prompt).forEach(match -> {
            int blocks = (int) Math.round(match.share() * prompt.size());
            assertTrue(reference.get(match.endpoint()).contains(prompt.get(blocks - 1)), match + " of " + prompt);
        });
    }

    private static ImmutableList<Long> prompt(SplittableRandom random) {
        long start = 1_000L * random.nextInt(8);
        return LongStream.range(0, 1 + random.nextInt(20))
                .mapToObj(block -> start + block)
                .collect(ImmutableList.toImmutableList());
    }
}
