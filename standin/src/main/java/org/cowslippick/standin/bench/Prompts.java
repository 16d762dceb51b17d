package org.cowslippick.standin.bench;

import java.util.SplittableRandom;

/** The texts of prompts: a part that an organisation's requests share, then a part of their own. */
final class Prompts {

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int LETTERS = 26;

    private Prompts() {}

    static String text(TracedRequest request) {
        String shared = letters(request.organisation(), request.sharedPromptTokens());
        return shared + letters(~request.number(), request.promptTokens() - request.sharedPromptTokens());
    }

    private static String letters(long seed, int tokens) {
        return new SplittableRandom(seed)
                .ints((long) tokens * CHARACTERS_PER_TOKEN, 'a', 'a' + LETTERS)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }
}
