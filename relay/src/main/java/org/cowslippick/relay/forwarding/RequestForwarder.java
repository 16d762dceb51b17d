package org.cowslippick.relay.forwarding;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.routing.OrganisationAccess;
import org.cowslippick.relay.caller.CallerExchange;
import org.cowslippick.relay.caller.CallerListener;
import org.cowslippick.relay.caller.RequestHandler;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.scheduler.overload.BacklogAdmission;

/** Forwards each request that the configuration and the quotas admit. */
public final class RequestForwarder implements RequestHandler {

    private static final CallerListener NO_OP_LISTENER = new CallerListener() {
        @Override
        public void disconnected() {}

        @Override
        public void writabilityChanged(boolean _writable) {}

        @Override
        public void refuseIfWaiting() {}

        @Override
        public void terminate() {}
    };

    private final ForwardingContext context;
    private Optional<Long> admissionEndNanos = Optional.empty();

    public RequestForwarder(ForwardingContext context) {
        this.context = context;
    }

    /** Refuses requests from then on; callers may send them to another instance at once. */
    public void admitUntil(long endNanos) {
        admissionEndNanos = Optional.of(endNanos);
    }

    @Override
    public CallerListener handle(CallerRequest request, CallerExchange exchange) {
        return Admission.of(request, context.routing().get())
                .flatMap(admission -> refuseIfStopping()
                        .or(() -> refuseIfBehind(admission))
                        .or(() -> acquireQuota(admission))
                        .<Either<Failure, Admission>>map(Either::left)
                        .orElseGet(() -> Either.right(admission)))
                .fold(failure -> refuse(request, exchange, failure), admission -> start(request, exchange, admission));
    }

    private Optional<Failure> refuseIfStopping() {
        long now = context.timer().nanoTime();
        return admissionEndNanos
                .filter(end -> now - end >= 0)
                .map(_end ->
                        Failure.retryAfter(ErrorKind.ENTRY_DRAINING, "this instance is about to exit", Duration.ZERO));
    }

    private Optional<Failure> refuseIfBehind(Admission admission) {
        Duration lag = context.monitor().lag();
        return BacklogAdmission.refusal(
                        admission.rank(), lag, ThreadLocalRandom.current().nextDouble())
                .map(delay -> Failure.retryAfter(
                        ErrorKind.SHED, "this instance is behind by " + lag.toMillis() + " ms", delay));
    }

    private Optional<Failure> acquireQuota(Admission admission) {
        if (admission.quotaCost() == 0) {
            return Optional.empty();
        }
        OrganisationAccess organisation = admission.organisation().orElseThrow();
        return context.quotas()
                .tryAcquire(organisation, admission.quotaCost())
                .map(delay -> Failure.retryAfter(
                        ErrorKind.LIMIT_EXCEEDED,
                        "the quota of " + organisation.name() + " is exhausted: " + admission.quotaCost()
                                + " requested, " + organisation.quota().ratePerSecond() + " per second allowed",
                        delay));
    }

    private CallerListener refuse(CallerRequest request, CallerExchange exchange, Failure failure) {
        RequestLog.refused(request, failure, context.routing().get().version());
        context.metrics().countRefusal(failure.kind().text());
        exchange.fail(failure);
        return NO_OP_LISTENER;
    }

    private CallerListener start(CallerRequest request, CallerExchange exchange, Admission admission) {
        ForwardedRequest forwarded = new ForwardedRequest(context, request, exchange, admission);
        forwarded.start();
        return forwarded;
    }
}
