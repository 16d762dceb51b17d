package org.cowslippick.relay.forwarding;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.routing.OrganisationAccess;
import org.cowslippick.relay.caller.CallerExchange;
import org.cowslippick.relay.caller.CallerListener;
import org.cowslippick.relay.caller.RequestHandler;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.message.CallerRequest;

/** Starts the flow of each request that the configuration and the quotas let in. */
public final class RequestForwarder implements RequestHandler {

    private static final CallerListener ENDED = new CallerListener() {
        @Override
        public void disconnected() {}

        @Override
        public void writabilityChanged(boolean _writable) {}
    };

    private final ForwardingContext parts;

    public RequestForwarder(ForwardingContext parts) {
        this.parts = parts;
    }

    @Override
    public CallerListener accept(CallerRequest request, CallerExchange exchange) {
        return Admission.of(request, parts.routing().get())
                .flatMap(admission -> overQuota(admission)
                        .<Either<Failure, Admission>>map(Either::left)
                        .orElseGet(() -> Either.right(admission)))
                .fold(failure -> refuse(request, exchange, failure), admission -> start(request, exchange, admission));
    }

    private Optional<Failure> overQuota(Admission admission) {
        if (admission.quotaCost() == 0) {
            return Optional.empty();
        }
        OrganisationAccess organisation = admission.organisation().orElseThrow();
        return parts.quotas()
                .tryAcquire(organisation, admission.quotaCost())
                .map(delay -> Failure.retryAfter(
                        ErrorKind.LIMIT_EXCEEDED,
                        "the quota of " + organisation.name() + " is used up: " + admission.quotaCost() + " wanted of "
                                + organisation.quota().perSecond() + " a second",
                        delay));
    }

    private CallerListener refuse(CallerRequest request, CallerExchange exchange, Failure failure) {
        RequestLog.write(
                request.attemptId(),
                false,
                LogLine.of("request")
                        .with("id", request.attemptId())
                        .with("result", failure.kind().text())
                        .with("status", failure.kind().httpStatus())
                        .with("configuration", parts.routing().get().version())
                        .with("path", request.path())
                        .with("detail", failure.detail())
                        .with(
                                "retryAfterMs",
                                failure.retryAfter().map(Duration::toMillis).orElse(-1L)));
        exchange.fail(failure);
        return ENDED;
    }

    private CallerListener start(CallerRequest request, CallerExchange exchange, Admission admission) {
        ForwardedRequest flow = new ForwardedRequest(parts, request, exchange, admission);
        flow.start();
        return flow;
    }
}
