package org.cowslippick.scheduler.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Simulates a model engine with continuous batching and chunked prefill: each iteration processes one chunk of the
 * oldest prompts and one token of each running answer. Requests beyond its slots wait in an internal FIFO queue.
 */
final class SimulatedEngine {

    private static final int CHUNK_TOKENS = 512;
    private static final int CACHED_PREFIXES = 200;
    private static final double ITERATION_NANOS = 8e6;
    private static final double SEQUENCE_NANOS = 0.5e6;
    private static final double PROMPT_TOKEN_NANOS = 0.04e6;

    private record Chunk(Job job, int tokens) {}

    private final EventQueue events;
    private final int slots;
    private final int promptsPerIteration;
    private final double speed;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final Deque<Long> cacheOrder = new ArrayDeque<>();
    private final Set<Long> cache = new HashSet<>();
    private double slowdown = 1;
    private boolean isBusy;
    private long processedPromptTokens;

    SimulatedEngine(EventQueue events, int slots, int promptsPerIteration, double speed) {
        this.events = events;
        this.slots = slots;
        this.promptsPerIteration = promptsPerIteration;
        this.speed = speed;
    }

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    long processedPromptTokens() {
        return processedPromptTokens;
    }

    void start(Job job) {
        waiting.add(job);
        if (!isBusy) {
            iterate();
        }
    }

    void cancel(Job job) {
        waiting.remove(job);
        running.remove(job);
    }

    private void iterate() {
        while (running.size() < slots && !waiting.isEmpty()) {
            Job job = waiting.poll();
            job.skipPrompt(cachedPromptTokens(job));
            running.add(job);
        }
        isBusy = !running.isEmpty();
        if (!isBusy) {
            return;
        }
        List<Job> decoding = running.stream().filter(job -> !job.needsPrompt()).toList();
        List<Chunk> chunks = chunks();
        int chunk = chunks.stream().mapToInt(Chunk::tokens).sum();
        double nanos = ITERATION_NANOS + SEQUENCE_NANOS * decoding.size() + PROMPT_TOKEN_NANOS * chunk;
        events.scheduleAfter((long) (nanos * slowdown / speed), () -> finishIteration(chunks, decoding));
    }

    private List<Chunk> chunks() {
        List<Chunk> chunks = new ArrayList<>();
        int remainingTokens = CHUNK_TOKENS;
        for (Job job : running.stream().filter(Job::needsPrompt).toList()) {
            if (remainingTokens == 0 || chunks.size() == promptsPerIteration) {
                break;
            }
            int chunk = Math.min(remainingTokens, job.remainingPromptTokens());
            chunks.add(new Chunk(job, chunk));
            remainingTokens -= chunk;
        }
        return chunks;
    }

    private void finishIteration(List<Chunk> chunks, List<Job> decoding) {
        decoding.stream().filter(running::contains).forEach(this::generateToken);
        chunks.forEach(chunk -> {
            Job job = chunk.job();
            processedPromptTokens += chunk.tokens();
            job.processPrompt(chunk.tokens());
            if (running.contains(job) && !job.needsPrompt()) {
                storePrefixes(job);
                generateToken(job);
            }
        });
        iterate();
    }

    private void generateToken(Job job) {
        boolean finished = job.addToken();
        if (finished) {
            running.remove(job);
        }
    }

    private int cachedPromptTokens(Job job) {
        long blocks = job.prefixHashes().stream().takeWhile(cache::contains).count();
        return job.prefixHashes().isEmpty()
                ? 0
                : (int) (blocks * job.promptTokens() / job.prefixHashes().size());
    }

    private void storePrefixes(Job job) {
        job.prefixHashes().stream().filter(cache::add).forEach(cacheOrder::add);
        while (cache.size() > CACHED_PREFIXES) {
            cache.remove(cacheOrder.poll());
        }
    }
}
