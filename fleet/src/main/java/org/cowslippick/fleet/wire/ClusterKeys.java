package org.cowslippick.fleet.wire;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The pre-shared keys of the cluster, in order of preference. To rotate a key, add the new one last, move it first once
 * every entry holds it, then remove the old one. Only authentication codes (HMAC-SHA-256) are sent, never keys.
 */
public final class ClusterKeys {

    private final ImmutableMap<String, HashFunction> hmacsByName;

    private ClusterKeys(ImmutableMap<String, HashFunction> hmacsByName) {
        this.hmacsByName = hmacsByName;
    }

    /** Creates the keys from secrets by key name; the order of the map is the order of preference. */
    public static ClusterKeys of(ImmutableMap<String, String> secrets) {
        return new ClusterKeys(secrets.entrySet().stream()
                .collect(ImmutableMap.toImmutableMap(
                        java.util.Map.Entry::getKey,
                        secret -> Hashing.hmacSha256(secret.getValue().getBytes(StandardCharsets.UTF_8)))));
    }

    public ImmutableList<String> names() {
        return hmacsByName.keySet().asList();
    }

    /** The most preferred key that the other end holds as well. */
    public Optional<String> choose(ImmutableCollection<String> offered) {
        return hmacsByName.keySet().stream().filter(offered::contains).findFirst();
    }

    /** The acceptor's proof; empty if the chosen key is unknown. */
    public Optional<String> acceptorProof(Hello hello, HelloResponse response) {
        return proof("acceptor", hello, response);
    }

    /** The dialler's proof; empty if the chosen key is unknown. */
    public Optional<String> diallerProof(Hello hello, HelloResponse response) {
        return proof("dialler", hello, response);
    }

    /** Compares two proofs without a timing side channel: the running time does not depend on where they differ. */
    public static boolean equalsConstantTime(String one, String other) {
        return Hashing.sha256()
                .hashString(one, StandardCharsets.UTF_8)
                .equals(Hashing.sha256().hashString(other, StandardCharsets.UTF_8));
    }

    private Optional<String> proof(String role, Hello hello, HelloResponse response) {
        return Optional.ofNullable(hmacsByName.get(response.key())).map(hmac -> {
            Hasher hasher = hmac.newHasher();
            putString(hasher, role);
            putSender(hasher, hello.sender());
            hasher.putInt(hello.versions().lowest()).putInt(hello.versions().highest());
            hello.keys().forEach(key -> putString(hasher, key));
            putString(hasher, hello.nonce());
            putSender(hasher, response.sender());
            hasher.putInt(response.version());
            putString(hasher, response.key());
            putString(hasher, response.nonce());
            return hasher.hash().toString();
        });
    }

    private static void putSender(Hasher hasher, Hello.Sender sender) {
        putString(hasher, sender.name().value());
        hasher.putLong(sender.incarnation().number());
        putString(hasher, sender.region().name());
    }

    private static void putString(Hasher hasher, String text) {
        hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
    }
}
