package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
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
import org.cowslippick.scheduler.slot.EndpointNotice;
import org.cowslippick.scheduler.slot.EndpointRateLimit;
import org.cowslippick.scheduler.slot.PoolLoad;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotRequest;
import org.jboss.logging.Logger;

/**
 * Requests slots from the owner of a pool. If an owner does not respond in time, this instance decides locally. Two
 * owners at the same time may overfill an endpoint, so only the designated one uses endpoints with a rate limit.
 */
public final class FleetSlotBroker implements SlotBroker {

    /** All message types of this package, for registration. */
    public static final ImmutableSet<MessageType<?>> MESSAGE_TYPES = ImmutableSet.<MessageType<?>>builder()
            .addAll(SlotMessages.types())
            .addAll(StateSyncMessages.types())
            .add(InstanceReport.TYPE)
            .add(FleetReport.TYPE)
            .add(CrashEvidence.TYPE)
            .build();

    private static final Logger LOGGER = Logger.getLogger("cowslippick.slots");

    /** Several round trips within a region. */
    private static final Duration SAME_REGION_TIMEOUT = Duration.ofMillis(60);

    /** A round trip between regions takes 60 ms. */
    private static final Duration CROSS_REGION_TIMEOUT = Duration.ofMillis(150);

    private static final Duration EXCLUSION_PERIOD = Duration.ofSeconds(1);

    private final InstanceName self;
    private final FleetMembership fleet;
    private final LocalSlotQueues localQueues;
    private final TimerService timer;
    private final PeerNetwork network;
    private final PoolSelector poolSelector;
    private final Map<SlotKey, LocalRequest> localRequests = new HashMap<>();
    /** What endpoints told this instance itself. */
    private final Map<String, EndpointRateLimit> rateLimits = new HashMap<>();

    private final Map<InstanceName, Incarnation> incarnations = new HashMap<>();
    private final PoolOwners owners;
    private final EndpointNoticeExchange notices;
    private final Region localRegion;
    private long lastNumber;

    /** Creates the broker and starts the reports of the fleet membership. */
    public FleetSlotBroker(
            Instance self,
            FleetMembership fleet,
            LocalSlotQueues localQueues,
            TimerService timer,
            PeerNetwork network) {
        this.self = self.name();
        this.fleet = fleet;
        this.localQueues = localQueues;
        this.timer = timer;
        this.network = network;
        this.localRegion = self.region();
        this.poolSelector = new PoolSelector(localRegion);
        this.owners = new PoolOwners(self.name(), fleet::members);
        this.notices = new EndpointNoticeExchange(this.self, fleet, localQueues, owners, timer, network);
        network.subscribe(SlotMessages.Acquire.class, this::onAcquire);
        network.subscribe(SlotMessages.Adopt.class, this::onAdopt);
        network.subscribe(SlotMessages.ResponseStarted.class, this::onResponseStarted);
        network.subscribe(
                SlotMessages.Released.class,
                (sender, message) ->
                        localQueues.release(message.pool(), key(sender, message.number()), message.outcome()));
        network.subscribe(
                SlotMessages.Withdrawn.class,
                (sender, message) -> localQueues.withdraw(message.pool(), key(sender, message.number())));
        network.subscribe(SlotMessages.Granted.class, this::onGranted);
        network.subscribe(SlotMessages.Refused.class, this::onRefused);
        network.subscribe(SlotMessages.Queued.class, this::onQueued);
        network.subscribe(SlotMessages.RateLimitReported.class, this::onRateLimitReported);
        localQueues.setOwnership(pool -> owners.designatedOwner(pool).equals(this.self));
        fleet.start(network, pool -> owner(pool).equals(this.self), this::reassign);
    }

    @Override
    public SlotKey nextKey() {
        lastNumber++;
        return new SlotKey(self, lastNumber);
    }

    @Override
    public void request(ServiceName service, SlotRequest request, SlotListener listener) {
        SlotPool pool = poolSelector.select(service, localQueues.pools(request.stream()), this::load);
        LocalRequest localRequest = new LocalRequest(pool, request, listener);
        localRequests.put(request.key(), localRequest);
        requestSlot(localRequest);
    }

    @Override
    public void withdraw(SlotKey key) {
        Optional.ofNullable(localRequests.remove(key)).ifPresent(localRequest -> {
            localRequest.cancelTimeout();
            if (localRequest.owner.equals(self)) {
                localQueues.withdraw(localRequest.pool, key);
            } else {
                send(localRequest.owner, new SlotMessages.Withdrawn(localRequest.pool, key.number()));
            }
        });
    }

    @Override
    public void responseStarted(SlotKey key) {
        Optional.ofNullable(localRequests.get(key)).ifPresent(localRequest -> {
            Optional<SlotMessages.AgedMachineLoad> load = localRequest.machineLoad.map(percent ->
                    new SlotMessages.AgedMachineLoad(percent, timer.nanoTime() - localRequest.loadAsOfNanos));
            if (localRequest.owner.equals(self)) {
                recordResponseStart(localRequest.pool, key, load);
                if (!localRequest.responseStarted) {
                    localQueues.reportOrigin(localRequest.pool, key);
                }
            } else if (!localRequest.responseStarted) {
                send(localRequest.owner, new SlotMessages.ResponseStarted(localRequest.pool, key.number(), load));
            }
            localRequest.responseStarted = true;
        });
    }

    @Override
    public void reportMachineLoad(SlotKey key, double percent) {
        Optional.ofNullable(localRequests.get(key)).ifPresent(localRequest -> {
            localRequest.machineLoad = Optional.of(percent);
            localRequest.loadAsOfNanos = timer.nanoTime();
        });
    }

    /** The load counts before the time to the first event, which it explains in part. */
    private void recordResponseStart(SlotPool pool, SlotKey key, Optional<SlotMessages.AgedMachineLoad> load) {
        load.ifPresent(
                aged -> localQueues.recordMachineLoad(pool, key, aged.percent(), timer.nanoTime() - aged.ageNanos()));
        localQueues.responseStarted(pool, key);
    }

    @Override
    public void reportRateLimit(LiveEndpoint endpoint, Optional<Double> requestsPerSecond) {
        EndpointRateLimit limit = new EndpointRateLimit(requestsPerSecond, timer.nanoTime());
        EndpointRateLimit before = rateLimits.put(endpoint.id(), limit);
        if (before == null || !before.requestsPerSecond().equals(requestsPerSecond)) {
            LOGGER.info(LogLine.of("rate-limit-changed")
                    .with("endpoint", endpoint.id())
                    .with(
                            "requestsPerSecond",
                            requestsPerSecond.map(String::valueOf).orElse("none"))
                    .with("owner", owner(SlotPool.of(endpoint)).value()));
        }
        localQueues.recordRateLimit(SlotPool.of(endpoint), endpoint.id(), limit);
        sendRateLimit(owner(SlotPool.of(endpoint)), endpoint, limit);
    }

    @Override
    public void reportNotice(LiveEndpoint endpoint, EndpointNotice notice) {
        notices.report(endpoint, notice);
    }

    @Override
    public boolean isBlocked(LiveEndpoint endpoint) {
        return notices.obstacle(endpoint).isPresent();
    }

    private void sendRateLimit(InstanceName owner, LiveEndpoint endpoint, EndpointRateLimit limit) {
        if (!owner.equals(self)) {
            send(
                    owner,
                    new SlotMessages.RateLimitReported(
                            SlotPool.of(endpoint),
                            endpoint.id(),
                            SlotMessages.AgedRateLimit.of(limit, timer.nanoTime())));
        }
    }

    private void onRateLimitReported(PeerIdentity _sender, SlotMessages.RateLimitReported message) {
        localQueues.recordRateLimit(
                message.pool(), message.endpoint(), message.limit().toRateLimit(timer.nanoTime()));
    }

    /** Forgets endpoints that are gone. */
    private void removeOutdatedRateLimits() {
        ImmutableSet<String> known = localQueues.pools().stream()
                .flatMap(pool -> localQueues.endpoints(pool).stream())
                .map(LiveEndpoint::id)
                .collect(ImmutableSet.toImmutableSet());
        rateLimits.keySet().retainAll(known);
    }

    @Override
    public void release(SlotKey key, AnswerOutcome outcome) {
        Optional.ofNullable(localRequests.remove(key)).ifPresent(localRequest -> {
            releaseAt(localRequest.owner, localRequest, outcome);
            localRequest.formerOwners.forEach(former -> releaseAt(former, localRequest, AnswerOutcome.SOUND));
        });
    }

    private void releaseAt(InstanceName owner, LocalRequest localRequest, AnswerOutcome outcome) {
        SlotKey key = localRequest.request.key();
        if (owner.equals(self)) {
            localQueues.release(localRequest.pool, key, outcome);
        } else {
            send(owner, new SlotMessages.Released(localRequest.pool, key.number(), outcome));
        }
    }

    private void requestSlot(LocalRequest localRequest) {
        localRequest.owner = owner(localRequest.pool);
        SlotKey key = localRequest.request.key();
        if (localRequest.owner.equals(self)) {
            requestLocally(localRequest);
            return;
        }
        boolean isSameRegion = localRequest.pool.region().equals(localRegion);
        localRequest.timeout = Optional.of(timer.schedule(
                isSameRegion ? SAME_REGION_TIMEOUT : CROSS_REGION_TIMEOUT, () -> bypassOwner(key, localRequest)));
        send(
                localRequest.owner,
                new SlotMessages.Acquire(
                        localRequest.pool,
                        SlotMessages.RelativeSlotRequest.of(localRequest.request, timer.nanoTime())));
    }

    private void requestLocally(LocalRequest localRequest) {
        localQueues.request(localRequest.pool, localRequest.request, new SlotListener() {
            @Override
            public void granted(SlotDecision.Granted grant) {
                localRequest.grantedEndpoint = Optional.of(grant.endpoint().id());
                localRequest.speed = grant.speed();
                localRequest.listener.granted(grant);
            }

            @Override
            public void refused(SlotDecision.Refused refusal) {
                localRequests.remove(refusal.request().key());
                localRequest.listener.refused(refusal);
            }
        });
    }

    /** Handles the timeout of an owner: excludes it for a while, and decides locally. */
    private void bypassOwner(SlotKey key, LocalRequest localRequest) {
        LOGGER.warn(LogLine.of("owner-silent")
                .with("owner", localRequest.owner.value())
                .with("service", localRequest.pool.service().value())
                .with("region", localRequest.pool.region().name()));
        owners.exclude(localRequest.owner, timer.nanoTime() + EXCLUSION_PERIOD.toNanos());
        timer.schedule(EXCLUSION_PERIOD, () -> owners.refresh(timer.nanoTime()));
        send(localRequest.owner, new SlotMessages.Withdrawn(localRequest.pool, key.number()));
        localRequest.owner = self;
        requestLocally(localRequest);
    }

    /** Moves waiting requests and held slots to the current owners. */
    private void reassign() {
        owners.refresh(timer.nanoTime());
        removeOutdatedRateLimits();
        ImmutableList.copyOf(localRequests.values()).stream()
                .filter(localRequest -> !localRequest.owner.equals(owner(localRequest.pool)))
                .forEach(this::moveToOwner);
    }

    private void moveToOwner(LocalRequest localRequest) {
        if (!localRequests.containsKey(localRequest.request.key())) {
            return;
        }
        if (localRequest.grantedEndpoint.isEmpty()) {
            localRequest.cancelTimeout();
            if (localRequest.owner.equals(self)) {
                localQueues.withdraw(localRequest.pool, localRequest.request.key());
            }
            requestSlot(localRequest);
            return;
        }
        if (localRequest.owner.equals(self)) {
            localQueues.release(localRequest.pool, localRequest.request.key(), AnswerOutcome.SOUND);
        } else {
            localRequest.formerOwners.add(localRequest.owner);
        }
        localRequest.owner = owner(localRequest.pool);
        localRequest.formerOwners.remove(localRequest.owner);
        if (localRequest.owner.equals(self)) {
            localQueues.inheritSpeed(localRequest.pool, localRequest.grantedEndpoint.get(), localRequest.speed);
            localQueues.adopt(localRequest.pool, localRequest.request, localRequest.grantedEndpoint.get());
        } else {
            send(
                    localRequest.owner,
                    new SlotMessages.Adopt(
                            localRequest.pool,
                            SlotMessages.RelativeSlotRequest.of(localRequest.request, timer.nanoTime()),
                            localRequest.grantedEndpoint.get(),
                            localRequest.speed));
        }
    }

    private InstanceName owner(SlotPool pool) {
        return owners.owner(pool);
    }

    private PoolLoad load(SlotPool pool) {
        return owner(pool).equals(self)
                ? localQueues.load(pool)
                : fleet.load(pool).orElseGet(() -> localQueues.load(pool));
    }

    /** Removes the requests of a previous incarnation of the sender, as a restarted process holds no slots. */
    private void recordIncarnation(PeerIdentity sender) {
        Incarnation before = incarnations.put(sender.name(), sender.incarnation());
        if (before != null && !before.equals(sender.incarnation())) {
            localQueues.removeInstance(sender.name());
        }
    }

    private void onAcquire(PeerIdentity sender, SlotMessages.Acquire message) {
        recordIncarnation(sender);
        SlotKey key = key(sender, message.request().number());
        RemoteListener listener = new RemoteListener(sender.name(), message.pool());
        localQueues.request(message.pool(), message.request().toRequest(key, timer.nanoTime()), listener);
        if (!listener.decided) {
            send(sender.name(), new SlotMessages.Queued(message.pool(), key.number()));
        }
    }

    private void onAdopt(PeerIdentity sender, SlotMessages.Adopt message) {
        recordIncarnation(sender);
        SlotKey key = key(sender, message.request().number());
        localQueues.inheritSpeed(message.pool(), message.endpoint(), message.speed());
        localQueues.adopt(message.pool(), message.request().toRequest(key, timer.nanoTime()), message.endpoint());
    }

    private void onResponseStarted(PeerIdentity sender, SlotMessages.ResponseStarted message) {
        SlotKey key = key(sender, message.number());
        recordResponseStart(message.pool(), key, message.load());
        localQueues.reportOrigin(message.pool(), key);
    }

    private void onQueued(PeerIdentity sender, SlotMessages.Queued message) {
        findWaiting(sender, message.number()).ifPresent(LocalRequest::cancelTimeout);
    }

    private void onGranted(PeerIdentity sender, SlotMessages.Granted message) {
        Optional<LocalRequest> localRequest = findWaiting(sender, message.number());
        LiveEndpoint endpoint = message.endpoint();
        boolean isLeaving = localQueues.endpoints(message.pool()).stream()
                .anyMatch(known -> known.id().equals(endpoint.id()) && known.leaving());
        if (localRequest.isEmpty() || isLeaving) {
            send(sender.name(), new SlotMessages.Released(message.pool(), message.number(), AnswerOutcome.SOUND));
            localRequest.ifPresent(waiting -> {
                waiting.cancelTimeout();
                waiting.owner = self;
                requestLocally(waiting);
            });
            return;
        }
        localRequest.get().cancelTimeout();
        Optional<EndpointNotice> obstacle = notices.obstacle(endpoint);
        if (obstacle.isPresent()) {
            notices.send(sender.name(), endpoint, obstacle.get());
            send(sender.name(), new SlotMessages.Released(message.pool(), message.number(), AnswerOutcome.SOUND));
            requestSlot(localRequest.get());
            return;
        }
        Optional<EndpointRateLimit> ownersLimit = message.limit().map(limit -> limit.toRateLimit(timer.nanoTime()));
        Optional<EndpointRateLimit> missed = Optional.ofNullable(rateLimits.get(endpoint.id()))
                .filter(EndpointRateLimit::isLimited)
                .filter(known ->
                        ownersLimit.filter(limit -> !known.isNewerThan(limit)).isEmpty());
        if (missed.isPresent()) {
            sendRateLimit(sender.name(), endpoint, missed.get());
            send(sender.name(), new SlotMessages.Released(message.pool(), message.number(), AnswerOutcome.SOUND));
            requestSlot(localRequest.get());
            return;
        }
        ownersLimit.ifPresent(limit -> localQueues.recordRateLimit(message.pool(), endpoint.id(), limit));
        localQueues.replaceSpeed(message.pool(), endpoint.id(), message.speed());
        localRequest.get().speed = message.speed();
        localRequest.get().grantedEndpoint = Optional.of(endpoint.id());
        localRequest
                .get()
                .listener
                .granted(new SlotDecision.Granted(
                        localRequest.get().request,
                        endpoint,
                        message.predictedNanos(),
                        message.keptTokens(),
                        ownersLimit,
                        message.speed()));
    }

    private void onRefused(PeerIdentity sender, SlotMessages.Refused message) {
        findWaiting(sender, message.number()).ifPresent(localRequest -> {
            localRequest.cancelTimeout();
            localRequests.remove(localRequest.request.key());
            localRequest.listener.refused(
                    new SlotDecision.Refused(localRequest.request, message.reason(), message.retryAfterNanos()));
        });
    }

    private Optional<LocalRequest> findWaiting(PeerIdentity owner, long number) {
        return Optional.ofNullable(localRequests.get(new SlotKey(self, number)))
                .filter(localRequest ->
                        localRequest.owner.equals(owner.name()) && localRequest.grantedEndpoint.isEmpty());
    }

    private static SlotKey key(PeerIdentity sender, long number) {
        return new SlotKey(sender.name(), number);
    }

    private void send(InstanceName receiver, PeerMessage message) {
        network.send(receiver, message);
    }

    /** Sends the decision about a request of another instance to that instance. */
    private final class RemoteListener implements SlotListener {
        private final InstanceName receiver;
        private final SlotPool pool;
        private boolean decided;

        RemoteListener(InstanceName receiver, SlotPool pool) {
            this.receiver = receiver;
            this.pool = pool;
        }

        @Override
        public void granted(SlotDecision.Granted grant) {
            decided = true;
            send(
                    receiver,
                    new SlotMessages.Granted(
                            pool,
                            grant.request().key().number(),
                            grant.endpoint(),
                            grant.predictedNanos(),
                            grant.keptTokens(),
                            grant.rateLimit().map(limit -> SlotMessages.AgedRateLimit.of(limit, timer.nanoTime())),
                            grant.speed()));
        }

        @Override
        public void refused(SlotDecision.Refused refusal) {
            decided = true;
            send(
                    receiver,
                    new SlotMessages.Refused(
                            pool, refusal.request().key().number(), refusal.reason(), refusal.retryAfterNanos()));
        }
    }
}
