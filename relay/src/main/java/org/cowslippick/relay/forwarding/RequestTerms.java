package org.cowslippick.relay.forwarding;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.OptionalLong;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.routing.OrganisationAccess;
import org.cowslippick.core.routing.Route;
import org.cowslippick.core.routing.RouteKind;
import org.cowslippick.core.routing.RoutedService;
import org.cowslippick.relay.endpoint.Dispatch;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.relay.message.HeaderText;
import org.cowslippick.relay.stream.ResumableRoutes;
import org.cowslippick.relay.stream.StreamIds;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotRequest;
import org.cowslippick.scheduler.stream.StreamTerms;

/** The time limits of a request, and what it asks of the slot queue and of an endpoint. */
final class RequestTerms {

    /** Queueing time of a first attempt, as a multiple of the target, before the caller is told to retry later. */
    private static final double FIRST_WAIT_PER_TARGET = 1.25;

    /**
     * Queueing time of a caller's retry after a refusal, as a fraction of the time that the caller waits, or of the
     * route's event timeout for a stream.
     */
    private static final double RETRY_WAIT_PER_TIMEOUT = 0.5;

    private final ForwardingContext context;
    private final CallerRequest request;
    private final Admission admission;
    private final long expiresAtNanos;

    RequestTerms(ForwardingContext context, CallerRequest request, Admission admission) {
        this.context = context;
        this.request = request;
        this.admission = admission;
        this.expiresAtNanos =
                request.arrivedAtNanos() + admission.timeout(request).toNanos();
    }

    long expiresAtNanos() {
        return expiresAtNanos;
    }

    /** The latest time at which the request may be sent for the first time. */
    long latestSendNanos() {
        return queueDeadlineNanos(maximumRetryWait());
    }

    SlotRequest slotRequest(SlotKey key, RequestProgress progress) {
        Route route = admission.route();
        return new SlotRequest(
                key,
                admission.rank(),
                route.rank(),
                request.fingerprint(),
                request.promptTokens(),
                request.answerTokens(),
                false,
                route.maximumPause().toNanos(),
                context.routing()
                        .get()
                        .service(admission.service())
                        .map(RoutedService::tokensPerEvent)
                        .orElse(0),
                request.arrivedAtNanos(),
                request.arrivedAtNanos() + route.target().toNanos(),
                queueDeadlineNanos(maximumFirstWait()),
                latestSendNanos(),
                expiresAtNanos,
                ImmutableSet.copyOf(progress.triedEndpoints()),
                admission.organisation().map(OrganisationAccess::name),
                context.connections().connectedEndpoints(admission.service(), route.allowsRetryAfterStart()),
                request.promptTokens() > 0 ? request.promptParts() : ImmutableList.of(),
                new StreamTerms(stream(), progress.streamVersion()));
    }

    /** The stream that the request begins or resumes; empty if nobody can resume it. */
    OptionalLong stream() {
        boolean isResumption =
                request.resumption().isPresent() && admission.route().kind() == RouteKind.EVENT_STREAM;
        boolean isStream = isResumption || ResumableRoutes.isResumable(admission.route());
        return isStream ? OptionalLong.of(StreamIds.of(request.firstAttempt())) : OptionalLong.empty();
    }

    Dispatch dispatch(LiveEndpoint endpoint, RequestProgress progress, long nowNanos) {
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.target());
        HttpHeaders headers = head.headers();
        headers.add(request.headers());
        if (request.body().isReadable() || expectsBody()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        }
        headers.set(
                context.names().remainingTime(),
                Math.max(1, Duration.ofNanos(expiresAtNanos - nowNanos).toMillis()));
        headers.set(context.names().expectedEndpoint(), endpoint.id());
        admission
                .organisation()
                .ifPresent(organisation -> headers.set(
                        context.names().organisation(),
                        HeaderText.encode(organisation.name().value())));
        progress.lastForwardedEvent()
                .ifPresent(id -> headers.set(context.names().lastEvent(), id));
        return new Dispatch(head, request.body(), request.attemptId());
    }

    private boolean expectsBody() {
        return request.method().equals(HttpMethod.POST) || request.method().equals(HttpMethod.PUT);
    }

    private long queueDeadlineNanos(Duration wait) {
        return Math.min(expiresAtNanos, request.arrivedAtNanos() + wait.toNanos());
    }

    private Duration maximumFirstWait() {
        return Duration.ofNanos(
                (long) (FIRST_WAIT_PER_TARGET * admission.route().target().toNanos()));
    }

    private Duration maximumRetryWait() {
        Route route = admission.route();
        long callerTimeoutNanos = route.kind() == RouteKind.EVENT_STREAM
                ? route.eventTimeout().toNanos()
                : expiresAtNanos - request.arrivedAtNanos();
        return Duration.ofNanos((long) (RETRY_WAIT_PER_TIMEOUT * callerTimeoutNanos));
    }
}
