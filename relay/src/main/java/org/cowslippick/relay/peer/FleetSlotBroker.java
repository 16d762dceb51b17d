package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.relay.slot.SlotBroker;
import org.cowslippick.relay.slot.SlotListener;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.PoolLoad;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotRequest;
import org.jboss.logging.Logger;

/**
 * Asks the owner of a pool for slots. An owner that does not answer at once is passed over, and this instance decides alone. Two owners at a time may fill
 * an endpoint too far, but nothing that must hold depends on there being one.
 */
public final class FleetSlotBroker implements SlotBroker {

    /** The message types of this package, for the registry of message types. */
    public static final ImmutableSet<MessageType<?>> MESSAGE_TYPES = ImmutableSet.<MessageType<?>>builder()
            .addAll(SlotMessages.types())
            .addAll(StateSyncMessages.types())
            .add(InstanceReport.TYPE)
            .add(FleetReport.TYPE)
            .build();

    private static final Logger LOGGER = Logger.getLogger("cowslippick.slots");

    /** Several round trips within a region. */
    private static final Duration NEAR_ANSWER_TIMEOUT = Duration.ofMillis(60);

    /** A round trip between regions takes 60 ms. */
    private static final Duration FAR_ANSWER_TIMEOUT = Duration.ofMillis(150);

    private static final Duration PASSED_OVER_FOR = Duration.ofSeconds(1);

    private final InstanceName self;
    private final FleetMembership fleet;
    private final LocalSlotQueues localQueues;
    private final TimerService timer;
    private final PeerNetwork network;
    private final PoolSelector choice;
    private final Map<SlotKey, Entry> entries = new HashMap<>();
    private final Map<InstanceName, Incarnation> lives = new HashMap<>();
    private final PoolOwners owners;
    private final Region home;
    private long lastNumber;

    /** Creates the broker and starts the fleet's reports. */
    public FleetSlotBroker(Instance self, FleetMembership fleet, LocalSlotQueues localQueues, TimerService timer, PeerNetwork network) {
        this.self = self.name();
        this.fleet = fleet;
        this.localQueues = localQueues;
        this.timer = timer;
        this.network = network;
        this.home = self.region();
        this.choice = new PoolSelector(home);
        this.owners = new PoolOwners(self.name(), fleet::members);
        network.subscribe(SlotMessages.Acquire.class, this::asked);
        network.subscribe(SlotMessages.Adopt.class, this::adopted);
        network.subscribe(
                SlotMessages.ResponseStarted.class,
                (sender, message) -> localQueues.responseStarted(message.pool(), key(sender, message.number())));
        network.subscribe(
                SlotMessages.Released.class,
                (sender, message) -> localQueues.release(message.pool(), key(sender, message.number()), message.outcome()));
        network.subscribe(
                SlotMessages.Withdrawn.class,
                (sender, message) -> localQueues.withdraw(message.pool(), key(sender, message.number())));
        network.subscribe(SlotMessages.Granted.class, this::granted);
        network.subscribe(SlotMessages.Refused.class, this::refused);
        network.subscribe(SlotMessages.Queued.class, this::queued);
        fleet.start(network, pool -> owner(pool).equals(this.self), this::reassign);
    }

    @Override
    public SlotKey nextKey() {
        lastNumber++;
        return new SlotKey(self, lastNumber);
    }

    @Override
    public void request(ServiceName service, SlotRequest request, SlotListener listener) {
        SlotPool pool = choice.choose(service, localQueues.pools(), this::load);
        Entry entry = new Entry(pool, request, listener);
        entries.put(request.key(), entry);
        ask(entry);
    }

    @Override
    public void withdraw(SlotKey key) {
        Optional.ofNullable(entries.remove(key)).ifPresent(entry -> {
            entry.cancelTimeout();
            if (entry.owner.equals(self)) {
                localQueues.withdraw(entry.pool, key);
            } else {
                send(entry.owner, new SlotMessages.Withdrawn(entry.pool, key.number()));
            }
        });
    }

    @Override
    public void responseStarted(SlotKey key) {
        Optional.ofNullable(entries.get(key)).ifPresent(entry -> {
            if (entry.owner.equals(self)) {
                localQueues.responseStarted(entry.pool, key);
            } else if (!entry.answered) {
                send(entry.owner, new SlotMessages.ResponseStarted(entry.pool, key.number()));
            }
            entry.answered = true;
        });
    }

    @Override
    public void release(SlotKey key, AnswerOutcome outcome) {
        Optional.ofNullable(entries.remove(key)).ifPresent(entry -> {
            if (entry.owner.equals(self)) {
                localQueues.release(entry.pool, key, outcome);
            } else {
                send(entry.owner, new SlotMessages.Released(entry.pool, key.number(), outcome));
            }
        });
    }

    private void ask(Entry entry) {
        entry.owner = owner(entry.pool);
        SlotKey key = entry.request.key();
        if (entry.owner.equals(self)) {
            decideHere(entry);
            return;
        }
        boolean near = entry.pool.region().equals(home);
        send(entry.owner, new SlotMessages.Acquire(entry.pool, SlotMessages.RelativeSlotRequest.of(entry.request, timer.nanoTime())));
        entry.timeout =
                Optional.of(timer.after(near ? NEAR_ANSWER_TIMEOUT : FAR_ANSWER_TIMEOUT, () -> passOver(key, entry)));
    }

    private void decideHere(Entry entry) {
        localQueues.request(entry.pool, entry.request, new SlotListener() {
            @Override
            public void granted(SlotDecision.Granted grant) {
                entry.held = Optional.of(grant.endpoint().id());
                entry.listener.granted(grant);
            }

            @Override
            public void refused(SlotDecision.Refused refusal) {
                entries.remove(refusal.request().key());
                entry.listener.refused(refusal);
            }
        });
    }

    /** The owner did not answer in time: this instance decides, and does so for a while. */
    private void passOver(SlotKey key, Entry entry) {
        LOGGER.warn(LogLine.of("owner-silent")
                .with("owner", entry.owner.value())
                .with("service", entry.pool.service().value())
                .with("region", entry.pool.region().name()));
        owners.passOver(entry.owner, timer.nanoTime() + PASSED_OVER_FOR.toNanos());
        timer.after(PASSED_OVER_FOR, () -> owners.changed(timer.nanoTime()));
        send(entry.owner, new SlotMessages.Withdrawn(entry.pool, key.number()));
        entry.owner = self;
        decideHere(entry);
    }

    /** Moves what waits, and what holds a slot, to the owners of the moment. */
    private void reassign() {
        owners.changed(timer.nanoTime());
        ImmutableList.copyOf(entries.values()).stream()
                .filter(entry -> !entry.owner.equals(owner(entry.pool)))
                .forEach(this::move);
    }

    private void move(Entry entry) {
        if (!entries.containsKey(entry.request.key())) {
            return;
        }
        if (entry.held.isEmpty()) {
            entry.cancelTimeout();
            if (entry.owner.equals(self)) {
                localQueues.withdraw(entry.pool, entry.request.key());
            }
            ask(entry);
            return;
        }
        if (entry.owner.equals(self)) {
            localQueues.release(entry.pool, entry.request.key(), AnswerOutcome.SOUND);
        }
        entry.owner = owner(entry.pool);
        if (entry.owner.equals(self)) {
            localQueues.adopt(entry.pool, entry.request, entry.held.get());
        } else {
            send(
                    entry.owner,
                    new SlotMessages.Adopt(
                            entry.pool, SlotMessages.RelativeSlotRequest.of(entry.request, timer.nanoTime()), entry.held.get()));
        }
    }

    private InstanceName owner(SlotPool pool) {
        return owners.owner(pool);
    }

    private PoolLoad load(SlotPool pool) {
        return owner(pool).equals(self) ? localQueues.load(pool) : fleet.load(pool).orElseGet(() -> localQueues.load(pool));
    }

    /** A process that restarted holds nothing of what it held before. */
    private void noteLife(PeerIdentity sender) {
        Incarnation before = lives.put(sender.name(), sender.incarnation());
        if (before != null && !before.equals(sender.incarnation())) {
            localQueues.removeInstance(sender.name());
        }
    }

    private void asked(PeerIdentity sender, SlotMessages.Acquire message) {
        noteLife(sender);
        SlotKey key = key(sender, message.wanted().number());
        RemoteListener listener = new RemoteListener(sender.name(), message.pool());
        localQueues.request(message.pool(), message.wanted().toRequest(key, timer.nanoTime()), listener);
        if (!listener.told) {
            send(sender.name(), new SlotMessages.Queued(message.pool(), key.number()));
        }
    }

    private void adopted(PeerIdentity sender, SlotMessages.Adopt message) {
        noteLife(sender);
        SlotKey key = key(sender, message.wanted().number());
        localQueues.adopt(message.pool(), message.wanted().toRequest(key, timer.nanoTime()), message.endpoint());
    }

    private void queued(PeerIdentity sender, SlotMessages.Queued message) {
        waitingAt(sender, message.number()).ifPresent(Entry::cancelTimeout);
    }

    private void granted(PeerIdentity sender, SlotMessages.Granted message) {
        Optional<Entry> entry = waitingAt(sender, message.number());
        LiveEndpoint endpoint = message.endpoint();
        boolean leaving = localQueues.endpoints(message.pool()).stream()
                .anyMatch(known -> known.id().equals(endpoint.id()) && known.leaving());
        if (entry.isEmpty() || leaving) {
            send(sender.name(), new SlotMessages.Released(message.pool(), message.number(), AnswerOutcome.SOUND));
            entry.ifPresent(waiting -> {
                waiting.cancelTimeout();
                waiting.owner = self;
                decideHere(waiting);
            });
            return;
        }
        entry.get().cancelTimeout();
        entry.get().held = Optional.of(endpoint.id());
        entry.get().listener.granted(new SlotDecision.Granted(entry.get().request, endpoint, message.predictedNanos()));
    }

    private void refused(PeerIdentity sender, SlotMessages.Refused message) {
        waitingAt(sender, message.number()).ifPresent(entry -> {
            entry.cancelTimeout();
            entries.remove(entry.request.key());
            entry.listener.refused(
                    new SlotDecision.Refused(entry.request, message.reason(), message.retryAfterNanos()));
        });
    }

    private Optional<Entry> waitingAt(PeerIdentity owner, long number) {
        return Optional.ofNullable(entries.get(new SlotKey(self, number)))
                .filter(entry -> entry.owner.equals(owner.name()) && entry.held.isEmpty());
    }

    private static SlotKey key(PeerIdentity sender, long number) {
        return new SlotKey(sender.name(), number);
    }

    private void send(InstanceName receiver, PeerMessage message) {
        network.send(receiver, message);
    }

    /** A request of this instance that waits for a slot or holds one. */
    private static final class Entry {
        private final SlotPool pool;
        private final SlotRequest request;
        private final SlotListener listener;
        private InstanceName owner;
        private Optional<Subscription> timeout = Optional.empty();
        private Optional<String> held = Optional.empty();
        private boolean answered;

        Entry(SlotPool pool, SlotRequest request, SlotListener listener) {
            this.pool = pool;
            this.request = request;
            this.listener = listener;
            this.owner = request.key().instance();
        }

        void cancelTimeout() {
            timeout.ifPresent(Subscription::cancel);
            timeout = Optional.empty();
        }
    }

    /** Sends the decision about another instance's request to it. */
    private final class RemoteListener implements SlotListener {
        private final InstanceName receiver;
        private final SlotPool pool;
        private boolean told;

        RemoteListener(InstanceName receiver, SlotPool pool) {
            this.receiver = receiver;
            this.pool = pool;
        }

        @Override
        public void granted(SlotDecision.Granted grant) {
            told = true;
            send(
                    receiver,
                    new SlotMessages.Granted(
                            pool, grant.request().key().number(), grant.endpoint(), grant.predictedNanos()));
        }

        @Override
        public void refused(SlotDecision.Refused refusal) {
            told = true;
            send(
                    receiver,
                    new SlotMessages.Refused(
                            pool, refusal.request().key().number(), refusal.reason(), refusal.retryAfterNanos()));
        }
    }
}
