package org.cowslippick.standin.engine;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A request in the batch of a stand-in engine. Not thread-safe. */
final class Sequence {

    private final String id;
    private final ImmutableList<Long> prefixHashes;
    private final int answerTokens;
    private final List<String> tokens = new ArrayList<>();
    private Consumer<Integer> tokenListener = _ignored -> {};
    private int remainingPrefillTokens;
    private int computedPrefillTokens;
    private boolean isFinished;

    Sequence(String id, ImmutableList<Long> prefixHashes, int promptTokens, int answerTokens) {
        this.id = id;
        this.prefixHashes = prefixHashes;
        this.answerTokens = answerTokens;
        this.remainingPrefillTokens = promptTokens;
    }

    String id() {
        return id;
    }

    ImmutableList<Long> prefixHashes() {
        return prefixHashes;
    }

    int remainingPrefillTokens() {
        return remainingPrefillTokens;
    }

    void recordPrefill(int computedTokens) {
        remainingPrefillTokens -= computedTokens;
        computedPrefillTokens += computedTokens;
    }

    /** Returns the number of prompt tokens computed for this request, without those found in the cache. */
    int computedPrefillTokens() {
        return computedPrefillTokens;
    }

    /** Skips the cached tokens, but leaves at least one token to prefill even if the whole prompt is cached. */
    void skipCachedPrefix(int cachedTokens) {
        remainingPrefillTokens = Math.max(1, remainingPrefillTokens - cachedTokens);
    }

    /** Emits one token and returns whether it was the last. */
    boolean emitToken() {
        tokens.add("word" + tokens.size() + " ");
        isFinished = tokens.size() >= answerTokens;
        tokenListener.accept(tokens.size());
        return isFinished;
    }

    List<String> tokens() {
        return tokens;
    }

    boolean isFinished() {
        return isFinished;
    }

    /** Replaces the listener, which receives the number of tokens after each new token. */
    void setTokenListener(Consumer<Integer> newListener) {
        tokenListener = newListener;
    }
}
