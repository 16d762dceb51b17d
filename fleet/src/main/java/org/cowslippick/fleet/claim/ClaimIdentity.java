package org.cowslippick.fleet.claim;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.cowslippick.core.request.IdempotencyKey;

/**
 * What is claimed: the organisation and its idempotency key, and the ticket where there is one, as 128 bits of SHA-256.
 * A key under a ticket and the same key without one are two identities.
 */
public record ClaimIdentity(String digest) {

    private static final int DIGEST_BYTES = 16;
    private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();

    /** The identity of a key that is claimed in the platform. */
    public static ClaimIdentity of(IdempotencyKey key) {
        return hash("platform", key);
    }

    /** The identity of a key that is claimed under a ticket. */
    public static ClaimIdentity of(IdempotencyKey key, Ticket ticket) {
        return hash("ticket " + ticket.space(), key);
    }

    /** The partition that holds the identity, out of so many. */
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
