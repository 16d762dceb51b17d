package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** The cluster's keys, newest first: the first one signs, and all of them verify, so that keys can be rotated. */
public final class SigningKeys {

    private final ImmutableList<HashFunction> functions;

    private SigningKeys(ImmutableList<HashFunction> functions) {
        this.functions = functions;
    }

    /** Takes the keys, newest first; at least one is needed. */
    public static SigningKeys of(ImmutableList<String> keys) {
        if (keys.isEmpty()) {
            throw new IllegalArgumentException("signing keys must not be empty, but there are " + keys.size());
        }
        return new SigningKeys(keys.stream()
                .map(key -> Hashing.hmacSha256(key.getBytes(StandardCharsets.UTF_8)))
                .collect(ImmutableList.toImmutableList()));
    }

    /** Signs with the newest key. */
    String sign(String text) {
        return sign(functions.get(0), text);
    }

    /** Whether any of the keys made the signature; the comparison takes the same time for every signature. */
    boolean verifies(String text, String signature) {
        return functions.stream().anyMatch(function -> sameInConstantTime(sign(function, text), signature));
    }

    private static boolean sameInConstantTime(String left, String right) {
        return MessageDigest.isEqual(left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
    }

    private static String sign(HashFunction function, String text) {
        return function.hashString(text, StandardCharsets.UTF_8).toString();
    }
}
