package org.cowslippick.entry.request;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;

/**
 * Estimates made from a prompt before it runs.
 *
 * @param tokens estimated prompt length
 * @param prefixHashes chained hashes of the prompt's blocks, each also covering all earlier blocks
 * @param fingerprint hash of the whole prompt
 */
public record PromptProfile(int tokens, ImmutableList<Long> prefixHashes, long fingerprint) {

    public static final int BLOCK_LENGTH_CHARACTERS = 256;

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int MAXIMUM_BLOCKS = 64;

    /** Estimates the profile of a prompt. */
    public static PromptProfile of(String prompt) {
        return new PromptProfile(
                (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN,
                prefixHashes(prompt),
                hash(0, prompt));
    }

    private static ImmutableList<Long> prefixHashes(String prompt) {
        int blocks = Math.min(prompt.length() / BLOCK_LENGTH_CHARACTERS, MAXIMUM_BLOCKS);
        long[] chainedHash = new long[1];
        return IntStream.range(0, blocks)
                .mapToObj(block ->
                        prompt.substring(block * BLOCK_LENGTH_CHARACTERS, (block + 1) * BLOCK_LENGTH_CHARACTERS))
                .map(block -> chainedHash[0] = hash(chainedHash[0], block))
                .collect(ImmutableList.toImmutableList());
    }

    private static long hash(long previous, String text) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(previous)
                .putString(text, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
