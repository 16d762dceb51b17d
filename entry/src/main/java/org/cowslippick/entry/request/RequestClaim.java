package org.cowslippick.entry.request;

import java.util.Optional;
import org.cowslippick.core.error.Outcome;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.fleet.claim.ClaimClient;
import org.cowslippick.fleet.claim.StoredAnswer;

/** The claim that a request holds on its identity, or {@link #NONE}. */
interface RequestClaim {

    /** Used by a request without a claim, which may be dispatched again. */
    RequestClaim NONE = new RequestClaim() {
        @Override
        public boolean markDispatched() {
            return true;
        }

        @Override
        public boolean markRefused() {
            return true;
        }

        @Override
        public void markFinished(StoredAnswer _answer) {}

        @Override
        public void releaseIfNotRun(Outcome _outcome) {}
    };

    /** Records that the request is about to be sent; if this returns false, it must not be sent. */
    boolean markDispatched();

    /** Records that the endpoint did not start the request; if this returns false, it must not be sent again. */
    boolean markRefused();

    /** Records the complete answer. */
    void markFinished(StoredAnswer answer);

    /** Records that the request ended without an answer; the identity is released only if the request did not run. */
    void releaseIfNotRun(Outcome outcome);

    /** The claim of the request, held through the claim client. */
    static RequestClaim of(ClaimClient claims, RequestId request) {
        return new RequestClaim() {
            @Override
            public boolean markDispatched() {
                return claims.markDispatched(request);
            }

            @Override
            public boolean markRefused() {
                return claims.markRefused(request);
            }

            @Override
            public void markFinished(StoredAnswer answer) {
                claims.markFinished(request, Optional.of(answer));
            }

            @Override
            public void releaseIfNotRun(Outcome outcome) {
                if (outcome == Outcome.NOT_RUN) {
                    claims.release(request);
                }
            }
        };
    }
}
