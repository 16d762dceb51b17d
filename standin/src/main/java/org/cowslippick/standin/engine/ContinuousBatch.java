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
 * The continuous batch of a stand-in engine. Requests are admitted in order of arrival, prompts are prefilled in chunks
 * alongside decoding, and each step generates one token for every request whose prompt is complete ("Orca", Yu et al.
 * 2022; chunked prefill as in "Sarathi-Serve", Agrawal et al. 2024). Not thread-safe.
 */
final class ContinuousBatch {

    private static final int PREFILL_CHUNK_TOKENS = 512;
    private static final int TOKENS_PER_BLOCK = 64;
    private static final int MAXIMUM_RETAINED_SEQUENCES = 2000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineSpeed speed;
    private final PrefixCache cache;
    private final ArrayDeque<Sequence> waiting = new ArrayDeque<>();
    private final List<Sequence> running = new ArrayList<>();
    private final LinkedHashMap<String, Sequence> sequencesById = new LinkedHashMap<>();
    private final Set<String> startedIds = new HashSet<>();
    private long prefillTokens;
    private long wastedPrefillTokens;
    private long duplicateStarts;
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
        sequencesById.put(sequence.id(), sequence);
        evictOldestFinished();
    }

    Optional<Sequence> find(String id) {
        return Optional.ofNullable(sequencesById.get(id));
    }

    /** Removes a request, and counts its prefill as wasted. Returns whether it was waiting or running. */
    boolean cancel(String id) {
        Sequence sequence = sequencesById.remove(id);
        if (sequence == null) {
            return false;
        }
        boolean isUnfinished = waiting.contains(sequence) || running.contains(sequence);
        waiting.remove(sequence);
        running.remove(sequence);
        if (isUnfinished) {
            wastedPrefillTokens += sequence.computedPrefillTokens();
        }
        return isUnfinished;
    }

    boolean isIdle() {
        return running.isEmpty() && waiting.isEmpty();
    }

    int runningCount() {
        return running.size();
    }

    int waitingCount() {
        return waiting.size();
    }

    EngineCounters counters() {
        return new EngineCounters(prefillTokens, wastedPrefillTokens, started, duplicateStarts);
    }

    /** Plans the next step and returns its duration in nanoseconds. */
    long beginStep() {
        admitWaiting();
        int chunkTokens = prefillChunk();
        long decodeNanos = speed.stepNanosPerRequest() * running.size();
        long prefillNanos = Math.round(chunkTokens / speed.prefillTokensPerSecond() * NANOS_PER_SECOND);
        return speed.stepNanos() + decodeNanos + prefillNanos;
    }

    /** Ends the step: every running request with a complete prompt emits a token. */
    void endStep() {
        List<Sequence> ready = running.stream()
                .filter(sequence -> sequence.remainingPrefillTokens() == 0)
                .toList();
        ready.stream().filter(Sequence::emitToken).forEach(running::remove);
    }

    private void admitWaiting() {
        while (running.size() < speed.batchSize() && !waiting.isEmpty()) {
            Sequence sequence = waiting.remove();
            sequence.skipCachedPrefix(cache.cachedBlocks(sequence.prefixHashes()) * TOKENS_PER_BLOCK);
            running.add(sequence);
            started++;
            if (!startedIds.add(sequence.id())) {
                duplicateStarts++;
            }
        }
    }

    private int prefillChunk() {
        int remainingTokens = PREFILL_CHUNK_TOKENS;
        for (Sequence sequence : ImmutableList.copyOf(running)) {
            int computed = Math.min(remainingTokens, sequence.remainingPrefillTokens());
            if (computed > 0) {
                sequence.recordPrefill(computed);
                remainingTokens -= computed;
                prefillTokens += computed;
                storePrefixWhenComplete(sequence);
            }
        }
        return PREFILL_CHUNK_TOKENS - remainingTokens;
    }

    private void storePrefixWhenComplete(Sequence sequence) {
        if (sequence.remainingPrefillTokens() == 0) {
            cache.store(sequence.prefixHashes());
        }
    }

    private void evictOldestFinished() {
        if (sequencesById.size() > MAXIMUM_RETAINED_SEQUENCES) {
            sequencesById.values().stream()
                    .filter(Sequence::isFinished)
                    .findFirst()
                    .map(Sequence::id)
                    .ifPresent(sequencesById::remove);
        }
    }
}
