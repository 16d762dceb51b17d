package org.cowslippick.standin.engine;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** One request inside a stand-in engine; used by one thread at a time. */
final class Sequence {

    private final String id;
    private final ImmutableList<Long> prefixHashes;
    private final int answerTokens;
    private final List<String> tokens = new ArrayList<>();
    private Consumer<Integer> reader = _ignored -> {};
    private int prefillLeft;
    private int prefillComputed;
    private boolean finished;

    Sequence(String id, ImmutableList<Long> prefixHashes, int promptTokens, int answerTokens) {
        this.id = id;
        this.prefixHashes = prefixHashes;
        this.answerTokens = answerTokens;
        this.prefillLeft = promptTokens;
    }

    String id() {
        return id;
    }

    ImmutableList<Long> prefixHashes() {
        return prefixHashes;
    }

    int prefillLeft() {
        return prefillLeft;
    }

    void prefill(int computed) {
        prefillLeft -= computed;
        prefillComputed += computed;
    }

    /** Prompt tokens that were computed for this request, without those found in the cache. */
    int prefillComputed() {
        return prefillComputed;
    }

    void skipPrefill(int cached) {
        prefillLeft = Math.max(1, prefillLeft - cached);
    }

    /** Emits one token and returns whether it was the last. */
    boolean emit() {
        tokens.add("word" + tokens.size() + " ");
        finished = tokens.size() >= answerTokens;
        reader.accept(tokens.size());
        return finished;
    }

    List<String> tokens() {
        return tokens;
    }

    boolean finished() {
        return finished;
    }

    /** Replaces the one who hears of new tokens. */
    void read(Consumer<Integer> newReader) {
        reader = newReader;
    }
}
