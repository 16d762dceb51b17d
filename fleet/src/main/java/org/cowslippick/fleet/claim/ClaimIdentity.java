package org.cowslippick.fleet.claim;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.cowslippick.core.request.IdempotencyKey;

/**
 * The unit of a claim: a 128-bit SHA-256 digest of the organisation, its idempotency key and, if there is one, the
 * ticket. The same key with and without a ticket gives two identities.
 */
public record ClaimIdentity(String digest) {

    private static final int DIGEST_BYTES = 16;
    private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();

    /** Returns the identity of a key that is claimed in the platform. */
    public static ClaimIdentity of(IdempotencyKey key) {
        return hash("platform", key);
    }

    /** Returns the identity of a key that is claimed under a ticket. */
    public static ClaimIdentity of(IdempotencyKey key, Ticket ticket) {
        return hash("ticket " + ticket.space(), key);
    }

    /** Returns the index of the partition, out of {@code count}, that holds the identity. */
    int partition(int count) {
        HashCode hash = HashCode.fromBytes(ENCODING.decode(digest));
        return Hashing.consistentHash(hash, count);
    }

    private static ClaimIdentity hash(String space, IdempotencyKey key) {
        String text = space + "\n" + key.organisation() + "\n" + key.key();
        byte[] bytes = Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asBytes();
        return new ClaimIdentity(ENCODING.encode(Arrays.copyOf(bytes, DIGEST_BYTES)));
    }
}
