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
import org.cowslippick.relay.peer.StateSyncMessages.InstanceAnnouncement;
import org.cowslippick.relay.peer.StateSyncMessages.StateRequest;
import org.cowslippick.relay.peer.StateSyncMessages.StateSnapshot;
import org.cowslippick.relay.state.ConfigurationDocument;
import org.cowslippick.relay.state.EndpointDirectory;
import org.cowslippick.relay.state.InstanceDirectory;
import org.cowslippick.relay.state.RoutingState;
import org.jboss.logging.Logger;

/**
 * Pull-based anti-entropy. Reports carry the state versions of their senders; an instance that stays behind requests the
 * state from one that is ahead, even if it reads the store itself, as its long poll may be lost.
 */
public final class StateSynchroniser {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.briefing");

    /** An instance that reads the store gets a new version within this time after the first report of it. */
    private static final Duration REQUEST_DELAY = Duration.ofMillis(300);

    /** Longer than a round trip between regions and the transfer of a large configuration. */
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(500);

    /** Allows several requests, and is well below the time within which a change must be in force. */
    private static final Duration MAXIMUM_LAG = Duration.ofMillis(1600);

    private final TimerService timer;
    private final InstanceDirectory instances;
    private final RoutingState routing;
    private final EndpointDirectory endpoints;
    private final Consumer<ConfigurationDocument> applier;
    private Optional<PeerNetwork> network = Optional.empty();
    private Optional<Long> behindSinceNanos = Optional.empty();
    private long lastHeardNanos;
    private long lastRequestNanos;

    /** The {@code applier} decodes a received configuration and puts it in force. */
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
        this.lastHeardNanos = timer.nanoTime();
        this.lastRequestNanos = timer.nanoTime() - REQUEST_INTERVAL.toNanos();
    }

    void start(PeerNetwork peers) {
        network = Optional.of(peers);
        peers.subscribe(InstanceAnnouncement.class, (_sender, message) -> instances.addAnnounced(message.instance()));
        peers.subscribe(StateRequest.class, (sender, message) -> sendState(peers, sender, message));
        peers.subscribe(StateSnapshot.class, this::apply);
        peers.addListener(new PeerListener() {
            @Override
            public void connected(InstanceName peer) {
                peers.send(peer, new InstanceAnnouncement(instances.self()));
            }

            @Override
            public void disconnected(InstanceName _peer) {}
        });
    }

    /** Records that others can read the store again, so that entries that expired during the outage are kept here too. */
    void othersRegainedStore() {
        if (isStoreUnavailable()) {
            endpoints.startGracePeriod();
        }
    }

    /** The versions of this instance's state. */
    StateVersions versions() {
        return new StateVersions(routing.current().version(), endpoints.position(), instances.position());
    }

    boolean isStoreUnavailable() {
        return endpoints.isStoreUnavailable();
    }

    /** Compares the versions that other instances reported with this one's, and requests newer state if needed. */
    void compare(Map<InstanceName, StateVersions> others) {
        boolean isBehind = others.values().stream().anyMatch(this::isAhead);
        ImmutableList<InstanceName> sources = others.entrySet().stream()
                .filter(entry -> isAhead(entry.getValue()))
                .map(Map.Entry::getKey)
                .filter(this::isKnown)
                .collect(ImmutableList.toImmutableList());
        long now = timer.nanoTime();
        if (!others.isEmpty()) {
            lastHeardNanos = now;
        }
        if (!isBehind) {
            behindSinceNanos = Optional.empty();
            return;
        }
        long since = behindSinceNanos.orElse(now);
        behindSinceNanos = Optional.of(since);
        boolean isDue = isStoreUnavailable() || now - since >= REQUEST_DELAY.toNanos();
        if (isDue && !sources.isEmpty() && now - lastRequestNanos >= REQUEST_INTERVAL.toNanos()) {
            lastRequestNanos = now;
            requestState(sources.get(ThreadLocalRandom.current().nextInt(sources.size())));
        }
    }

    /**
     * Whether newer state exists but is not received from others, or may exist unnoticed as no other instance is heard, so
     * that this instance must read the store itself.
     */
    boolean isStuck() {
        long now = timer.nanoTime();
        boolean isOutdated = behindSinceNanos
                .filter(since -> now - since >= MAXIMUM_LAG.toNanos())
                .isPresent();
        return isOutdated || now - lastHeardNanos >= MAXIMUM_LAG.toNanos();
    }

    private boolean isKnown(InstanceName name) {
        return instances.others().stream().anyMatch(instance -> instance.name().equals(name));
    }

    private boolean isAhead(StateVersions other) {
        return other.configuration() > routing.current().version()
                || endpoints.isBehind(other.endpoints())
                || instances.isBehind(other.instances());
    }

    private void requestState(InstanceName other) {
        LOGGER.info(LogLine.of("briefing-wanted")
                .with("from", other.value())
                .with("configuration", versions().configuration())
                .with("endpointsEra", versions().endpoints().era())
                .with("endpointsRevision", versions().endpoints().revision())
                .with("instancesEra", versions().instances().era())
                .with("instancesRevision", versions().instances().revision()));
        network.ifPresent(peers -> peers.send(other, new StateRequest(versions())));
    }

    private void sendState(PeerNetwork peers, PeerIdentity sender, StateRequest request) {
        StateVersions known = request.known();
        peers.send(
                sender.name(),
                new StateSnapshot(
                        versions(),
                        routing.document().filter(document -> document.version() > known.configuration()),
                        endpoints.position().isNewerThan(known.endpoints())
                                ? endpoints.registered()
                                : ImmutableList.of(),
                        instances.position().isNewerThan(known.instances())
                                ? instances.allRegistered()
                                : ImmutableList.of()));
    }

    private void apply(PeerIdentity sender, StateSnapshot snapshot) {
        LOGGER.info(LogLine.of("briefing-received")
                .with("from", sender.name().value())
                .with("configuration", snapshot.versions().configuration())
                .with("endpointsEra", snapshot.versions().endpoints().era())
                .with("endpointsRevision", snapshot.versions().endpoints().revision())
                .with("endpoints", snapshot.endpoints().size())
                .with("instancesEra", snapshot.versions().instances().era())
                .with("instancesRevision", snapshot.versions().instances().revision())
                .with("instances", snapshot.instances().size())
                .with(
                        "sinceRequestMs",
                        Duration.ofNanos(timer.nanoTime() - lastRequestNanos).toMillis()));
        behindSinceNanos = Optional.empty();
        // A list is left out only if this instance already knew its position, and is then not applied.
        endpoints.applyFromPeer(snapshot.endpoints(), snapshot.versions().endpoints(), sender.name());
        instances.applyFromPeer(snapshot.instances(), snapshot.versions().instances());
        snapshot.configuration().ifPresent(applier);
    }
}
