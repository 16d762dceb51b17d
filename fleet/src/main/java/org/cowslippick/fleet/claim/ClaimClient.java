package org.cowslippick.fleet.claim;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.request.RequestId;

/**
 * Claims identities before dispatch and records the progress of claimed requests. Futures never complete exceptionally.
 */
public interface ClaimClient {

    /** Claims the identity for this attempt. */
    CompletableFuture<ClaimResult> claim(ClaimRequest request);

    /** Records that the attempt is about to be sent; if this returns false, it must not be sent. */
    boolean markDispatched(RequestId request);

    /** Records that an endpoint refused the attempt before starting it; returns whether another endpoint may run it. */
    boolean markRefused(RequestId request);

    /** Records that the attempt was answered. */
    void markFinished(RequestId request, Optional<StoredAnswer> answer);

    /** Releases the identity of an attempt that provably has not run and never will. */
    void release(RequestId request);
}
