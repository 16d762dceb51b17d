package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerListener;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.peer.StateSyncMessages.StateSnapshot;
import org.cowslippick.relay.peer.StateSyncMessages.InstanceAnnouncement;
import org.cowslippick.relay.peer.StateSyncMessages.StateRequest;
import org.cowslippick.relay.state.ConfigurationDocument;
import org.cowslippick.relay.state.EndpointDirectory;
import org.cowslippick.relay.state.InstanceDirectory;
import org.cowslippick.relay.state.RoutingState;
import org.jboss.logging.Logger;

/**
 * Brings an instance that cannot read the store up to date from others. Reports say which versions their senders have;
 * an instance that stays behind asks one of those that are ahead.
 */
public final class StateSynchroniser {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.briefing");

    /** An instance that reads the store itself has a new version sooner than this after the first report of it. */
    private static final Duration BEHIND_BEFORE_ASKING = Duration.ofMillis(300);

    /** Longer than a round trip between regions and the transfer of a large configuration. */
    private static final Duration ASKING_PERIOD = Duration.ofMillis(500);

    /** Several attempts to ask, and well below the time in which a change has to be in force. */
    private static final Duration LONGEST_BEHIND = Duration.ofMillis(1600);

    private final TimerService timer;
    private final InstanceDirectory instances;
    private final RoutingState routing;
    private final EndpointDirectory endpoints;
    private final Consumer<ConfigurationDocument> applier;
    private Optional<PeerNetwork> network = Optional.empty();
    private Optional<Long> behindSinceNanos = Optional.empty();
    private long askedAtNanos;

    /** Creates the part; {@code applier} decodes a configuration and puts it in force. */
    public StateSynchroniser(
            TimerService timer,
            InstanceDirectory instances,
            RoutingState routing,
            EndpointDirectory endpoints,
            Consumer<ConfigurationDocument> applier) {
        this.timer = timer;
        this.instances = instances;
        this.routing = routing;
        this.endpoints = endpoints;
        this.applier = applier;
        this.askedAtNanos = timer.nanoTime() - ASKING_PERIOD.toNanos();
    }

    void start(PeerNetwork peers) {
        network = Optional.of(peers);
        peers.subscribe(InstanceAnnouncement.class, (_sender, message) -> instances.addAnnounced(message.instance()));
        peers.subscribe(StateRequest.class, (sender, message) -> answer(peers, sender, message));
        peers.subscribe(StateSnapshot.class, this::briefed);
        peers.listen(new PeerListener() {
            @Override
            public void connected(InstanceName peer) {
                peers.send(peer, new InstanceAnnouncement(instances.self()));
            }

            @Override
            public void disconnected(InstanceName _peer) {}
        });
    }

    /** What is known here. */
    StateVersions versions() {
        return new StateVersions(routing.current().version(), endpoints.revision(), instances.revision());
    }

    /** Whether the store cannot be read here. */
    boolean isStoreUnavailable() {
        return endpoints.isStoreUnavailable();
    }

    /** Looks at what others reported lately, and asks one that is ahead. */
    void compare(Map<InstanceName, StateVersions> others) {
        boolean behind = others.values().stream().anyMatch(this::ahead);
        ImmutableList<InstanceName> ahead = others.entrySet().stream()
                .filter(entry -> ahead(entry.getValue()))
                .map(Map.Entry::getKey)
                .filter(this::known)
                .collect(ImmutableList.toImmutableList());
        long now = timer.nanoTime();
        if (!behind) {
            behindSinceNanos = Optional.empty();
            return;
        }
        long since = behindSinceNanos.orElse(now);
        behindSinceNanos = Optional.of(since);
        boolean due = isStoreUnavailable() || now - since >= BEHIND_BEFORE_ASKING.toNanos();
        if (due && !ahead.isEmpty() && now - askedAtNanos >= ASKING_PERIOD.toNanos()) {
            askedAtNanos = now;
            ask(ahead.get(ThreadLocalRandom.current().nextInt(ahead.size())));
        }
    }

    /** Whether others are ahead and do not answer, so that this instance has to read the store itself. */
    boolean isStuck() {
        return behindSinceNanos
                .filter(since -> timer.nanoTime() - since >= LONGEST_BEHIND.toNanos())
                .isPresent();
    }

    private boolean known(InstanceName name) {
        return instances.others().stream().anyMatch(instance -> instance.name().equals(name));
    }

    private boolean ahead(StateVersions other) {
        return other.configuration() > routing.current().version()
                || endpoints.isBehind(other.endpoints())
                || instances.isBehind(other.instances());
    }

    private void ask(InstanceName other) {
        LOGGER.info(LogLine.of("briefing-wanted")
                .with("from", other.value())
                .with("configuration", versions().configuration())
                .with("endpointsRevision", versions().endpoints())
                .with("instancesRevision", versions().instances()));
        network.ifPresent(peers -> peers.send(other, new StateRequest(versions())));
    }

    private void answer(PeerNetwork peers, PeerIdentity sender, StateRequest wanted) {
        StateVersions known = wanted.known();
        peers.send(
                sender.name(),
                new StateSnapshot(
                        versions(),
                        routing.document().filter(document -> document.version() > known.configuration()),
                        endpoints.revision() > known.endpoints() ? endpoints.active() : ImmutableList.of(),
                        instances.revision() > known.instances() ? instances.all() : ImmutableList.of()));
    }

    private void briefed(PeerIdentity _sender, StateSnapshot briefing) {
        behindSinceNanos = Optional.empty();
        if (!briefing.endpoints().isEmpty()) {
            endpoints.applyFromPeer(briefing.endpoints(), briefing.versions().endpoints());
        }
        if (!briefing.instances().isEmpty()) {
            instances.applyFromPeer(briefing.instances(), briefing.versions().instances());
        }
        briefing.configuration().ifPresent(applier);
    }
}
