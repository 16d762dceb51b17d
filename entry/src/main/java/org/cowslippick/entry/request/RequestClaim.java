package org.cowslippick.entry.request;

import java.util.Optional;
import org.cowslippick.core.error.Outcome;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.fleet.claim.ClaimClient;
import org.cowslippick.fleet.claim.StoredAnswer;

/** The claim that a request holds on its identity, if it needs one. */
interface RequestClaim {

    /** The claim of a request that may be dispatched again. */
    RequestClaim NONE = new RequestClaim() {
        @Override
        public boolean dispatched() {
            return true;
        }

        @Override
        public boolean refused() {
            return true;
        }

        @Override
        public void finished(StoredAnswer _answer) {}

        @Override
        public void failed(Outcome _outcome) {}
    };

    /** Records that the request is about to be sent; if false, it must not be. */
    boolean dispatched();

    /** Records that the endpoint did not start it; if false, it must not be sent again. */
    boolean refused();

    /** Records the whole answer. */
    void finished(StoredAnswer answer);

    /** Records the end without an answer; the identity is free again only if the request did not run. */
    void failed(Outcome outcome);

    /** The claim that the request holds at the claim client. */
    static RequestClaim of(ClaimClient claims, RequestId request) {
        return new RequestClaim() {
            @Override
            public boolean dispatched() {
                return claims.markDispatched(request);
            }

            @Override
            public boolean refused() {
                return claims.markRefused(request);
            }

            @Override
            public void finished(StoredAnswer answer) {
                claims.markFinished(request, Optional.of(answer));
            }

            @Override
            public void failed(Outcome outcome) {
                if (outcome == Outcome.NOT_RUN) {
                    claims.release(request);
                }
            }
        };
    }
}
