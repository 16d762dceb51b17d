package org.cowslippick.relay.endpoint;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;

/** The rules for a part of a response beyond those of its decoder. */
final class ResponseDefects {

    private ResponseDefects() {}

    /**
     * Returns why a part of a response must not be used; empty if nothing is wrong with it.
     *
     * @param isReused whether its connection has carried an earlier request
     */
    static Optional<String> find(HttpObject message, String attemptIdHeader, boolean isReused) {
        if (message.decoderResult().isFailure()) {
            return Optional.of(String.valueOf(message.decoderResult().cause().getMessage()));
        }
        if (!(message instanceof HttpResponse head)) {
            return Optional.empty();
        }
        return findUnknownStatus(head).or(() -> findAmbiguity(head, attemptIdHeader, isReused));
    }

    /** A status of no class (RFC 9110, section 15) does not tell a caller whether the request has run. */
    private static Optional<String> findUnknownStatus(HttpResponse head) {
        return head.status().codeClass() == HttpStatusClass.UNKNOWN
                ? Optional.of("status " + head.status().code())
                : Optional.empty();
    }

    /** A provisional response needs no id, as it is skipped; nor does the first failure, before which none can be late. */
    private static Optional<String> findAmbiguity(HttpResponse head, String attemptIdHeader, boolean isReused) {
        int ids = head.headers().getAll(attemptIdHeader).size();
        boolean needsId = isReused || head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (ids > 1) {
            return Optional.of("two attempt ids");
        }
        return ids == 0 && needsId && head.status().codeClass() != HttpStatusClass.INFORMATIONAL
                ? Optional.of("no attempt id")
                : Optional.empty();
    }
}
