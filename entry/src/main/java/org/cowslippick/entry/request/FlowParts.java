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

/** What every request of an entry uses. */
record FlowParts(
        Instance self,
        TimerService timer,
        Timeline timeline,
        Supplier<SettingsTree> settings,
        GrantClient grants,
        EndpointClient endpoints,
        ClaimClient claims,
        RequestOutcomes outcomes,
        Consumer<RequestFlow> whenEnded) {

    Optional<Endpoint> endpoint(EndpointName name) {
        return settings.get().endpoint(name);
    }

    void ended(RequestFlow flow) {
        whenEnded.accept(flow);
    }
}
