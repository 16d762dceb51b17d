package org.cowslippick.fleet.claim;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.request.RequestId;

/** Claims identities before dispatch and records what became of them. Futures never complete exceptionally. */
public interface ClaimClient {

    /** Claims the identity for this attempt. */
    CompletableFuture<ClaimResult> claim(ClaimRequest request);

    /** Records that the attempt is about to be sent; if false, it must not be sent any more. */
    boolean markDispatched(RequestId request);

    /** Records that an endpoint refused the attempt before starting it, so that it may be sent to another. */
    boolean markRefused(RequestId request);

    /** Records that the attempt was answered. */
    void markFinished(RequestId request, Optional<StoredAnswer> answer);

    /** Records the proof that the attempt did not run and never will, and frees the identity. */
    void release(RequestId request);
}
