package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
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
import org.cowslippick.relay.stream.OriginAnswer;
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
    private final BiFunction<ServiceName, Long, OriginAnswer> ownAnswer;
    private long lastNumber;

    /**
     * Creates an exchange.
     *
     * @param ownAnswer what this instance knows of a stream by itself
     */
    public StreamOriginExchange(
            InstanceName self,
            FleetMembership fleet,
            LocalSlotQueues localQueues,
            TimerService timer,
            PeerNetwork network,
            BiFunction<ServiceName, Long, OriginAnswer> ownAnswer) {
        this.ownAnswer = ownAnswer;
        this.self = self;
        this.fleet = fleet;
        this.localQueues = localQueues;
        this.timer = timer;
        this.network = network;
        network.subscribe(StreamOriginMessages.Query.class, this::received);
        network.subscribe(StreamOriginMessages.Answer.class, this::received);
    }

    @Override
    public void ask(ServiceName service, long stream, Consumer<Answers> onAnswers) {
        ImmutableSet<InstanceName> receivers = receivers(service);
        boolean areAllAsked = receivers.size() == fleet.registeredCount() - 1;
        if (receivers.isEmpty()) {
            onAnswers.accept(new Answers(ImmutableList.of(), true, areAllAsked));
            return;
        }
        lastNumber++;
        long number = lastNumber;
        Subscription timeout = timer.schedule(ANSWER_TIMEOUT, () -> end(number));
        searches.put(number, new Search(onAnswers, new HashSet<>(receivers), new ArrayList<>(), areAllAsked, timeout));
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
                new StreamOriginMessages.Answer(query.number(), ownAnswer.apply(query.service(), query.stream())));
    }

    private void received(PeerIdentity sender, StreamOriginMessages.Answer message) {
        Optional.ofNullable(searches.get(message.number()))
                .filter(search -> search.unanswered().remove(sender.name()))
                .ifPresent(search -> {
                    search.received().add(message.answer());
                    if (message.answer().recorded().isPresent()
                            || search.unanswered().isEmpty()) {
                        end(message.number());
                    }
                });
    }

    private void end(long number) {
        Optional.ofNullable(searches.remove(number)).ifPresent(search -> {
            search.timeout().cancel();
            search.onAnswers()
                    .accept(new Answers(
                            ImmutableList.copyOf(search.received()),
                            search.unanswered().isEmpty(),
                            search.areAllAsked()));
        });
    }

    /** A query to several instances that is under way. */
    private record Search(
            Consumer<Answers> onAnswers,
            Set<InstanceName> unanswered,
            List<OriginAnswer> received,
            boolean areAllAsked,
            Subscription timeout) {}
}
