package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The cluster's signing keys, newest first. The newest one signs and all of them verify, so that keys can be rotated.
 */
public final class SigningKeys {

    private final ImmutableList<HashFunction> functions;

    private SigningKeys(ImmutableList<HashFunction> functions) {
        this.functions = functions;
    }

    /** Creates signing keys from their texts, newest first. */
    public static SigningKeys of(ImmutableList<String> keys) {
        if (keys.isEmpty()) {
            throw new IllegalArgumentException("at least one signing key is required, but got " + keys.size());
        }
        return new SigningKeys(keys.stream()
                .map(key -> Hashing.hmacSha256(key.getBytes(StandardCharsets.UTF_8)))
                .collect(ImmutableList.toImmutableList()));
    }

    /** Signs with the newest key. */
    String sign(String text) {
        return sign(functions.get(0), text);
    }

    /** Whether any of the keys made the signature; signatures are compared in constant time. */
    boolean verifies(String text, String signature) {
        return functions.stream().anyMatch(function -> equalsInConstantTime(sign(function, text), signature));
    }

    private static boolean equalsInConstantTime(String expected, String actual) {
        return MessageDigest.isEqual(
                expected.getBytes(StandardCharsets.UTF_8), actual.getBytes(StandardCharsets.UTF_8));
    }

    private static String sign(HashFunction function, String text) {
        return function.hashString(text, StandardCharsets.UTF_8).toString();
    }
}
