package org.cowslippick.entry.request;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;

/**
 * What is estimated of a prompt before it runs.
 *
 * @param prefixHashes hashes of the prompt's blocks; each covers all blocks before it
 */
public record PromptProfile(int tokens, ImmutableList<Long> prefixHashes, long fingerprint) {

    /** Characters in one block of a prefix hash. */
    public static final int BLOCK_CHARACTERS = 256;

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
        int blocks = Math.min(prompt.length() / BLOCK_CHARACTERS, MAXIMUM_BLOCKS);
        long[] chain = new long[1];
        return IntStream.range(0, blocks)
                .mapToObj(block -> prompt.substring(block * BLOCK_CHARACTERS, (block + 1) * BLOCK_CHARACTERS))
                .map(block -> chain[0] = hash(chain[0], block))
                .collect(ImmutableList.toImmutableList());
    }

    private static long hash(long before, String text) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(before)
                .putString(text, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
