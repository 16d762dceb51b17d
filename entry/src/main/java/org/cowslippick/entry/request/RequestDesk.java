package org.cowslippick.entry.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.timeline.EventKind;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.entry.endpoint.EndpointClient;
import org.cowslippick.fleet.grant.GrantClient;

/** Starts requests and keeps those in flight at this entry. */
public final class RequestDesk {

    private final FlowParts parts;
    private final Map<RequestId, RequestFlow> flows = new ConcurrentHashMap<>();

    /** Creates a desk without requests. */
    public RequestDesk(
            Instance self,
            TimerService timer,
            Timeline timeline,
            Supplier<SettingsTree> settings,
            GrantClient grants,
            EndpointClient endpoints) {
        this.parts = new FlowParts(self, timer, timeline, settings, grants, endpoints, this::ended);
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
        flow.start();
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
    }
}
