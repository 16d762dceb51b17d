package org.cowslippick.standin.bench;

import java.util.SplittableRandom;

/** Generates prompts from a prefix that the requests of an organisation share and an individual rest. */
final class Prompts {

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int ALPHABET_SIZE = 26;

    private Prompts() {}

    static String text(TracedRequest request) {
        String sharedPrefix = randomLetters(request.organisation(), request.sharedPromptTokens());
        return sharedPrefix + randomLetters(~request.number(), request.promptTokens() - request.sharedPromptTokens());
    }

    private static String randomLetters(long seed, int tokens) {
        return new SplittableRandom(seed)
                .ints((long) tokens * CHARACTERS_PER_TOKEN, 'a', 'a' + ALPHABET_SIZE)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }
}
