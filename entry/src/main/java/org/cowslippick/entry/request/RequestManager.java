package org.cowslippick.entry.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.timeline.EventKind;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.entry.endpoint.EndpointClient;
import org.cowslippick.fleet.claim.ClaimClient;
import org.cowslippick.fleet.grant.GrantClient;

/** Starts requests, tracks those in flight at this entry, and drains them. */
public final class RequestManager {

    private final RequestContext context;
    private final RequestLimits limits;
    private final Map<RequestId, InFlightRequest> requests = new ConcurrentHashMap<>();
    private final AtomicBoolean isDraining = new AtomicBoolean();
    private final CompletableFuture<Boolean> drained = new CompletableFuture<>();

    /** Creates a manager with no requests. */
    public RequestManager(
            Instance self,
            TimerService timer,
            Timeline timeline,
            Supplier<SettingsTree> settings,
            GrantClient grants,
            EndpointClient endpoints,
            ClaimClient claims,
            RequestOutcomeRecorder outcomes,
            RequestLimits limits) {
        this.limits = limits;
        this.context = new RequestContext(
                self, timer, timeline, settings, grants, endpoints, claims, outcomes, this::requestEnded);
    }

    /** Refuses new requests from now on and lets those in flight complete. */
    public void drain() {
        if (!isDraining.getAndSet(true)) {
            context.timeline().record(EventKind.ENTRY_DRAINING, requests.size() + " requests in flight");
        }
        completeWhenEmpty();
    }

    /** Completes when the entry is draining and its last request has ended. */
    public CompletableFuture<Boolean> drained() {
        return drained;
    }

    public boolean isDraining() {
        return isDraining.get();
    }

    /** Starts a request; the listener receives its answer. */
    public InFlightRequest start(AdmittedRequest request, AnswerListener listener) {
        InFlightRequest inFlight = new InFlightRequest(context, request, listener);
        requests.put(request.id(), inFlight);
        context.timeline()
                .record(
                        EventKind.REQUEST_ARRIVED,
                        request.id(),
                        Optional.empty(),
                        request.descriptor().organisation(),
                        "service " + request.descriptor().service() + " tier "
                                + request.descriptor().tier().name());
        if (isDraining.get()) {
            inFlight.refused(Failure.of(
                    ErrorKind.ENTRY_DRAINING,
                    "entry " + context.self().name() + " is draining and accepts no new requests"));
        } else {
            limits.tryAdmit(request.descriptor()).ifPresentOrElse(inFlight::refused, inFlight::start);
        }
        return inFlight;
    }

    /** Finds a request in flight that belongs to the organisation. */
    public Optional<InFlightRequest> find(RequestId id, OrganisationName organisation) {
        return Optional.ofNullable(requests.get(id))
                .filter(inFlight ->
                        inFlight.request().descriptor().organisation().equals(organisation));
    }

    /** The number of requests queued or running. */
    public int inFlightCount() {
        return requests.size();
    }

    private void requestEnded(InFlightRequest inFlight) {
        requests.remove(inFlight.request().id());
        limits.release(inFlight.request().id());
        completeWhenEmpty();
    }

    private void completeWhenEmpty() {
        if (isDraining.get() && requests.isEmpty()) {
            drained.complete(true);
        }
    }
}
