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

/** Remembers the calls; the test answers the claims. */
final class FakeClaimClient implements ClaimClient {

    final List<String> calls = new ArrayList<>();
    boolean dispatchAllowed = true;
    private CompletableFuture<ClaimResult> open = new CompletableFuture<>();

    void answer(ClaimResult result) {
        open.complete(result);
    }

    @Override
    public CompletableFuture<ClaimResult> claim(ClaimRequest _request) {
        calls.add("claim");
        open = new CompletableFuture<>();
        return open;
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
