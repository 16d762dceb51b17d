package org.cowslippick.entry.request;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.Instance;
import org.cowslippick.entry.endpoint.EndpointClient;
import org.cowslippick.fleet.claim.ClaimClient;
import org.cowslippick.fleet.grant.GrantClient;

/** The services shared by all requests of an entry. */
record RequestContext(
        Instance self,
        TimerService timer,
        Timeline timeline,
        Supplier<SettingsTree> settings,
        GrantClient grants,
        EndpointClient endpoints,
        ClaimClient claims,
        RequestOutcomeRecorder outcomes,
        Consumer<InFlightRequest> onRequestEnded) {

    Optional<Endpoint> findEndpoint(EndpointName name) {
        return settings.get().endpoint(name);
    }

    void requestEnded(InFlightRequest request) {
        onRequestEnded.accept(request);
    }
}
