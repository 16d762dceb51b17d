package org.cowslippick.scheduler.sim;

import com.google.common.collect.ImmutableList;
import org.cowslippick.scheduler.pool.Grant;

/** One attempt of a request inside a {@link SimulatedEngine}. */
final class Job {

    /** Receives the progress of a job. */
    interface Listener {
        void firstToken(Job job);

        void finished(Job job);
    }

    private final Grant grant;
    private final ImmutableList<Long> prefixHashes;
    private final int promptTokens;
    private final int answerTokens;
    private final long startedAtNanos;
    private final Listener listener;
    private int remainingPromptTokens;
    private int tokens;
    private int processedPromptTokens;

    Job(
            Grant grant,
            ImmutableList<Long> prefixHashes,
            int promptTokens,
            int answerTokens,
            long startedAtNanos,
            Listener listener) {
        this.grant = grant;
        this.prefixHashes = prefixHashes;
        this.promptTokens = promptTokens;
        this.answerTokens = answerTokens;
        this.startedAtNanos = startedAtNanos;
        this.listener = listener;
        this.remainingPromptTokens = promptTokens;
    }

    Grant grant() {
        return grant;
    }

    ImmutableList<Long> prefixHashes() {
        return prefixHashes;
    }

    int promptTokens() {
        return promptTokens;
    }

    long startedAtNanos() {
        return startedAtNanos;
    }

    int tokens() {
        return tokens;
    }

    int remainingPromptTokens() {
        return remainingPromptTokens;
    }

    boolean needsPrompt() {
        return remainingPromptTokens > 0;
    }

    void skipPrompt(int cached) {
        remainingPromptTokens = Math.max(1, remainingPromptTokens - cached);
    }

    int processedPromptTokens() {
        return processedPromptTokens;
    }

    void processPrompt(int chunk) {
        processedPromptTokens += chunk;
        remainingPromptTokens -= chunk;
    }

    /** Adds one token and returns whether it was the last. */
    boolean addToken() {
        tokens++;
        if (tokens == 1) {
            listener.firstToken(this);
        }
        if (tokens >= answerTokens) {
            listener.finished(this);
            return true;
        }
        return false;
    }
}
