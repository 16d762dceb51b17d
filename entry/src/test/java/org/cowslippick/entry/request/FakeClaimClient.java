package org.cowslippick.entry.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.fleet.claim.ClaimClient;
import org.cowslippick.fleet.claim.ClaimRequest;
import org.cowslippick.fleet.claim.ClaimResult;
import org.cowslippick.fleet.claim.StoredAnswer;

/** Records all calls; the test completes the pending claim. */
final class FakeClaimClient implements ClaimClient {

    final List<String> calls = new ArrayList<>();
    boolean dispatchAllowed = true;
    private CompletableFuture<ClaimResult> pendingClaim = new CompletableFuture<>();

    void completeClaim(ClaimResult result) {
        pendingClaim.complete(result);
    }

    @Override
    public CompletableFuture<ClaimResult> claim(ClaimRequest _request) {
        calls.add("claim");
        pendingClaim = new CompletableFuture<>();
        return pendingClaim;
    }

    @Override
    public boolean markDispatched(RequestId _request) {
        calls.add("dispatched");
        return dispatchAllowed;
    }

    @Override
    public boolean markRefused(RequestId _request) {
        calls.add("refused");
        return true;
    }

    @Override
    public void markFinished(RequestId _request, Optional<StoredAnswer> _answer) {
        calls.add("finished");
    }

    @Override
    public void release(RequestId _request) {
        calls.add("released");
    }
}
