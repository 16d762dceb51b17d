package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.relay.stream.OriginPeers;

/**
 * Asks the instances that may have granted the first slot of a stream: all live ones in a small fleet, the owners of the
 * service's pools and the collectors of the region in a large one.
 */
public final class StreamOriginExchange implements OriginPeers {

    /** All message types of the exchange, for registration. */
    public static final ImmutableSet<MessageType<?>> MESSAGE_TYPES = StreamOriginMessages.types();

    /** A round trip between regions takes 60 ms. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(150);

    private final FleetMembership fleet;
    private final LocalSlotQueues localQueues;
    private final TimerService timer;
    private final PeerNetwork network;
    private final InstanceName self;
    private final Map<Long, Search> searches = new HashMap<>();
    private final BiFunction<ServiceName, Long, Optional<String>> known;
    private long lastNumber;

    /**
     * Creates an exchange.
     *
     * @param known the version of a stream as far as this instance knows it by itself
     */
    public StreamOriginExchange(
            InstanceName self,
            FleetMembership fleet,
            LocalSlotQueues localQueues,
            TimerService timer,
            PeerNetwork network,
            BiFunction<ServiceName, Long, Optional<String>> known) {
        this.known = known;
        this.self = self;
        this.fleet = fleet;
        this.localQueues = localQueues;
        this.timer = timer;
        this.network = network;
        network.subscribe(StreamOriginMessages.Query.class, this::received);
        network.subscribe(StreamOriginMessages.Answer.class, this::received);
    }

    @Override
    public void ask(ServiceName service, long stream, Consumer<Optional<String>> onAnswer) {
        ImmutableSet<InstanceName> receivers = receivers(service);
        if (receivers.isEmpty()) {
            onAnswer.accept(Optional.empty());
            return;
        }
        lastNumber++;
        long number = lastNumber;
        Subscription timeout = timer.schedule(ANSWER_TIMEOUT, () -> end(number, Optional.empty()));
        searches.put(number, new Search(onAnswer, new HashSet<>(receivers), timeout));
        receivers.forEach(receiver -> network.send(receiver, new StreamOriginMessages.Query(number, service, stream)));
    }

    private ImmutableSet<InstanceName> receivers(ServiceName service) {
        ImmutableSet<InstanceName> members =
                fleet.members().stream().map(Instance::name).collect(ImmutableSet.toImmutableSet());
        ImmutableSet<InstanceName> asked =
                ReportSchedule.usesCollectors(members.size() - 1) ? ownersAndCollectors(service) : members;
        return Sets.difference(asked, ImmutableSet.of(self)).immutableCopy();
    }

    /** A collector reports to all instances of its region, so it asks owners only. */
    private ImmutableSet<InstanceName> ownersAndCollectors(ServiceName service) {
        ImmutableSet<InstanceName> collectors = fleet.forwardsState() ? ImmutableSet.of() : fleet.reportReceivers();
        return Sets.union(owners(service), collectors).immutableCopy();
    }

    private ImmutableSet<InstanceName> owners(ServiceName service) {
        PoolOwners owners = new PoolOwners(self, fleet::members);
        return localQueues.pools().stream()
                .filter(pool -> pool.service().equals(service))
                .map(owners::designatedOwner)
                .collect(ImmutableSet.toImmutableSet());
    }

    private void received(PeerIdentity sender, StreamOriginMessages.Query query) {
        network.send(
                sender.name(),
                new StreamOriginMessages.Answer(query.number(), known.apply(query.service(), query.stream())));
    }

    private void received(PeerIdentity sender, StreamOriginMessages.Answer answer) {
        Optional.ofNullable(searches.get(answer.number())).ifPresent(search -> {
            search.unanswered().remove(sender.name());
            if (answer.version().isPresent() || search.unanswered().isEmpty()) {
                end(answer.number(), answer.version());
            }
        });
    }

    private void end(long number, Optional<String> version) {
        Optional.ofNullable(searches.remove(number)).ifPresent(search -> {
            search.timeout().cancel();
            search.onAnswer().accept(version);
        });
    }

    /** A query to several instances that has not been answered yet. */
    private record Search(Consumer<Optional<String>> onAnswer, Set<InstanceName> unanswered, Subscription timeout) {}
}
