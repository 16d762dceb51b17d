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

/** Starts requests and keeps those in flight at this entry. */
public final class RequestDesk {

    private final FlowParts parts;
    private final RequestLimits limits;
    private final Map<RequestId, RequestFlow> flows = new ConcurrentHashMap<>();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CompletableFuture<Boolean> drained = new CompletableFuture<>();

    /** Creates a desk without requests. */
    public RequestDesk(
            Instance self,
            TimerService timer,
            Timeline timeline,
            Supplier<SettingsTree> settings,
            GrantClient grants,
            EndpointClient endpoints,
            ClaimClient claims,
            RequestOutcomes outcomes,
            RequestLimits limits) {
        this.limits = limits;
        this.parts = new FlowParts(self, timer, timeline, settings, grants, endpoints, claims, outcomes, this::ended);
    }

    /** Refuses new requests from now on and lets those in flight end. */
    public void drain() {
        if (!draining.getAndSet(true)) {
            parts.timeline().record(EventKind.ENTRY_DRAINING, flows.size() + " requests in flight");
        }
        completeWhenEmpty();
    }

    /** Completes when the entry was drained and its last request has ended. */
    public CompletableFuture<Boolean> drained() {
        return drained;
    }

    /** Whether the entry is leaving. */
    public boolean draining() {
        return draining.get();
    }

    /** Starts a request; the listener hears its answer. */
    public RequestFlow start(AdmittedRequest request, AnswerListener listener) {
        RequestFlow flow = new RequestFlow(parts, request, listener);
        flows.put(request.id(), flow);
        parts.timeline()
                .record(
                        EventKind.REQUEST_ARRIVED,
                        request.id(),
                        Optional.empty(),
                        request.descriptor().organisation(),
                        "service " + request.descriptor().service() + " tier "
                                + request.descriptor().tier().name());
        if (draining.get()) {
            flow.refused(
                    Failure.of(ErrorKind.ENTRY_DRAINING, "entry " + parts.self().name() + " is leaving"));
        } else {
            limits.tryAdmit(request.descriptor()).ifPresentOrElse(flow::refused, flow::start);
        }
        return flow;
    }

    /** Finds a request in flight of the organisation. */
    public Optional<RequestFlow> find(RequestId id, OrganisationName organisation) {
        return Optional.ofNullable(flows.get(id))
                .filter(flow -> flow.request().descriptor().organisation().equals(organisation));
    }

    /** How many requests are queued or running. */
    public int inFlight() {
        return flows.size();
    }

    private void ended(RequestFlow flow) {
        flows.remove(flow.request().id());
        limits.release(flow.request().id());
        completeWhenEmpty();
    }

    private void completeWhenEmpty() {
        if (draining.get() && flows.isEmpty()) {
            drained.complete(true);
        }
    }
}
