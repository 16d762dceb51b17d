package org.cowslippick.standin.engine;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The batch of a stand-in engine: requests join in order of arrival, prompts are computed in chunks beside the running
 * requests, and each step gives every running request one token ("Orca", Yu et al. 2022; chunked prefill as in
 * "Sarathi-Serve", Agrawal et al. 2024). One thread at a time.
 */
final class ContinuousBatch {

    private static final int PREFILL_CHUNK_TOKENS = 512;
    private static final int TOKENS_PER_BLOCK = 64;
    private static final int FINISHED_KEPT = 2000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineSpeed speed;
    private final PrefixCache cache;
    private final ArrayDeque<Sequence> waiting = new ArrayDeque<>();
    private final List<Sequence> running = new ArrayList<>();
    private final LinkedHashMap<String, Sequence> known = new LinkedHashMap<>();
    private final Set<String> startedIds = new HashSet<>();
    private long prefillTokens;
    private long wastedPrefillTokens;
    private long startedTwice;
    private long started;

    ContinuousBatch(EngineSpeed speed) {
        this.speed = speed;
        this.cache = new PrefixCache(speed.cacheBlocks());
    }

    PrefixCache cache() {
        return cache;
    }

    void add(Sequence sequence) {
        waiting.add(sequence);
        known.put(sequence.id(), sequence);
        forgetOldest();
    }

    Optional<Sequence> find(String id) {
        return Optional.ofNullable(known.get(id));
    }

    /** Takes a request out; what was computed for it is wasted. */
    boolean cancel(String id) {
        Sequence sequence = known.remove(id);
        if (sequence == null) {
            return false;
        }
        boolean inside = waiting.contains(sequence) || running.contains(sequence);
        waiting.remove(sequence);
        running.remove(sequence);
        if (inside) {
            wastedPrefillTokens += sequence.prefillComputed();
        }
        return inside;
    }

    boolean idle() {
        return running.isEmpty() && waiting.isEmpty();
    }

    int runningCount() {
        return running.size();
    }

    int waitingCount() {
        return waiting.size();
    }

    EngineCounters counters() {
        return new EngineCounters(prefillTokens, wastedPrefillTokens, started, startedTwice);
    }

    /** Plans the next step and returns how long it takes. */
    long beginStep() {
        admitWaiting();
        int chunk = prefill();
        long decode = speed.stepNanosPerRequest() * running.size();
        long prefill = Math.round(chunk / speed.prefillTokensPerSecond() * NANOS_PER_SECOND);
        return speed.stepNanos() + decode + prefill;
    }

    /** Ends the step: every request whose prompt is computed gets a token. */
    void endStep() {
        List<Sequence> ready =
                running.stream().filter(sequence -> sequence.prefillLeft() == 0).toList();
        ready.stream().filter(Sequence::emit).forEach(running::remove);
    }

    private void admitWaiting() {
        while (running.size() < speed.batch() && !waiting.isEmpty()) {
            Sequence sequence = waiting.remove();
            sequence.skipPrefill(cache.cachedBlocks(sequence.prefixHashes()) * TOKENS_PER_BLOCK);
            running.add(sequence);
            started++;
            if (!startedIds.add(sequence.id())) {
                startedTwice++;
            }
        }
    }

    private int prefill() {
        int left = PREFILL_CHUNK_TOKENS;
        for (Sequence sequence : ImmutableList.copyOf(running)) {
            int computed = Math.min(left, sequence.prefillLeft());
            if (computed > 0) {
                sequence.prefill(computed);
                left -= computed;
                prefillTokens += computed;
                storeWhenComputed(sequence);
            }
        }
        return PREFILL_CHUNK_TOKENS - left;
    }

    private void storeWhenComputed(Sequence sequence) {
        if (sequence.prefillLeft() == 0) {
            cache.store(sequence.prefixHashes());
        }
    }

    private void forgetOldest() {
        if (known.size() > FINISHED_KEPT) {
            known.values().stream()
                    .filter(Sequence::finished)
                    .findFirst()
                    .map(Sequence::id)
                    .ifPresent(known::remove);
        }
    }
}
