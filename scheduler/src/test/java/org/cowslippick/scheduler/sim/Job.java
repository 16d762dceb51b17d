package org.cowslippick.scheduler.sim;

import com.google.common.collect.ImmutableList;
import org.cowslippick.scheduler.pool.Grant;

/** One attempt of a request inside a {@link FakeEngine}. */
final class Job {

    /** Who hears of the progress of a job. */
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
    private int promptLeft;
    private int tokens;
    private int promptComputed;

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
        this.promptLeft = promptTokens;
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

    int promptLeft() {
        return promptLeft;
    }

    boolean needsPrompt() {
        return promptLeft > 0;
    }

    void skipPrompt(int cached) {
        promptLeft = Math.max(1, promptLeft - cached);
    }

    int promptComputed() {
        return promptComputed;
    }

    void computePrompt(int chunk) {
        promptComputed += chunk;
        promptLeft -= chunk;
    }

    /** Adds one token and says whether it was the last. */
    boolean token() {
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
