package org.cowslippick.relay.peer;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.scheduler.slot.EndpointNotice;
import org.cowslippick.scheduler.slot.SlotPool;
import org.jboss.logging.Logger;

/**
 * Passes on what endpoints say about themselves: to the owner of the pool, which grants its slots, and if an endpoint
 * leaves, from the owner to all others, as they decide alone while they cannot reach it.
 */
final class EndpointNoticeExchange {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.slots");

    private final InstanceName self;
    private final FleetMembership fleet;
    private final LocalSlotQueues localQueues;
    private final PoolOwners owners;
    private final TimerService timer;
    private final PeerNetwork network;

    EndpointNoticeExchange(
            InstanceName self,
            FleetMembership fleet,
            LocalSlotQueues localQueues,
            PoolOwners owners,
            TimerService timer,
            PeerNetwork network) {
        this.self = self;
        this.fleet = fleet;
        this.localQueues = localQueues;
        this.owners = owners;
        this.timer = timer;
        this.network = network;
        network.subscribe(SlotMessages.NoticeReported.class, this::received);
    }

    /** Takes over what an endpoint said in a response to this instance. */
    void report(LiveEndpoint endpoint, EndpointNotice notice) {
        if (!localQueues.recordNotice(endpoint, self, notice)) {
            return;
        }
        InstanceName owner = owners.owner(SlotPool.of(endpoint));
        log(endpoint, notice, owner);
        if (owner.equals(self)) {
            spreadLeaving(endpoint, notice, self);
        } else {
            send(owner, endpoint, notice);
        }
    }

    /** What the endpoint said that forbids this instance to send it a request now; empty if nothing does. */
    Optional<EndpointNotice> obstacle(LiveEndpoint endpoint) {
        return localQueues.obstacle(endpoint, self);
    }

    void send(InstanceName receiver, LiveEndpoint endpoint, EndpointNotice notice) {
        network.send(receiver, SlotMessages.NoticeReported.of(endpoint, notice, timer.nanoTime()));
    }

    private void received(PeerIdentity sender, SlotMessages.NoticeReported message) {
        EndpointNotice notice = message.toNotice(timer.nanoTime());
        boolean isNew = localQueues.recordNotice(message.endpoint(), sender.name(), notice);
        if (isNew && owners.owner(SlotPool.of(message.endpoint())).equals(self)) {
            spreadLeaving(message.endpoint(), notice, sender.name());
        }
    }

    private void spreadLeaving(LiveEndpoint endpoint, EndpointNotice notice, InstanceName source) {
        if (notice.isLeaving()) {
            fleet.members().stream()
                    .map(Instance::name)
                    .filter(name -> !name.equals(self) && !name.equals(source))
                    .forEach(name -> send(name, endpoint, EndpointNotice.LEAVING));
        }
    }

    private void log(LiveEndpoint endpoint, EndpointNotice notice, InstanceName owner) {
        long pauseMilliseconds = notice.pausedUntilNanos()
                .map(until -> Duration.ofNanos(until - timer.nanoTime()).toMillis())
                .orElse(0L);
        LOGGER.info(LogLine.of("endpoint-notice")
                .with("endpoint", endpoint.id())
                .with("leaving", notice.isLeaving())
                .with("pauseMs", pauseMilliseconds)
                .with("owner", owner.value()));
    }
}
