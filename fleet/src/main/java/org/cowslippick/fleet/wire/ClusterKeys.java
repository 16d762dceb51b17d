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
 * The keys that the entries share, in order of preference. Keys rotate by adding a new one last, moving it first once
 * every entry holds it, and removing the old one. Only authentication codes (HMAC-SHA-256) are sent, never keys.
 */
public final class ClusterKeys {

    private final ImmutableMap<String, HashFunction> functions;

    private ClusterKeys(ImmutableMap<String, HashFunction> functions) {
        this.functions = functions;
    }

    /** Creates the set from the secret of each key name. */
    public static ClusterKeys of(ImmutableMap<String, String> secrets) {
        return new ClusterKeys(secrets.entrySet().stream()
                .collect(ImmutableMap.toImmutableMap(
                        java.util.Map.Entry::getKey,
                        secret -> Hashing.hmacSha256(secret.getValue().getBytes(StandardCharsets.UTF_8)))));
    }

    /** The names of the keys. */
    public ImmutableList<String> names() {
        return functions.keySet().asList();
    }

    /** The most preferred key that the other end holds as well. */
    public Optional<String> choose(ImmutableCollection<String> offered) {
        return functions.keySet().stream().filter(offered::contains).findFirst();
    }

    /** The proof by which whoever accepted a connection authenticates itself. */
    public Optional<String> acceptorProof(Hello hello, HelloAnswer answer) {
        return proof("acceptor", hello, answer);
    }

    /** The proof by which whoever opened a connection authenticates itself. */
    public Optional<String> diallerProof(Hello hello, HelloAnswer answer) {
        return proof("dialler", hello, answer);
    }

    /** Whether two proofs are the same, in a time that does not depend on where they differ. */
    public static boolean same(String one, String other) {
        return Hashing.sha256()
                .hashString(one, StandardCharsets.UTF_8)
                .equals(Hashing.sha256().hashString(other, StandardCharsets.UTF_8));
    }

    private Optional<String> proof(String role, Hello hello, HelloAnswer answer) {
        return Optional.ofNullable(functions.get(answer.key())).map(function -> {
            Hasher hasher = function.newHasher();
            add(hasher, role);
            addSender(hasher, hello.sender());
            hasher.putInt(hello.versions().lowest()).putInt(hello.versions().highest());
            hello.keys().forEach(key -> add(hasher, key));
            add(hasher, hello.nonce());
            addSender(hasher, answer.sender());
            hasher.putInt(answer.version());
            add(hasher, answer.key());
            add(hasher, answer.nonce());
            return hasher.hash().toString();
        });
    }

    private static void addSender(Hasher hasher, Hello.Sender sender) {
        add(hasher, sender.name().value());
        hasher.putLong(sender.incarnation().number());
        add(hasher, sender.region().name());
    }

    private static void add(Hasher hasher, String text) {
        hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
    }
}
