package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.DispatchReport;
import org.cowslippick.scheduler.pool.Grant;
import org.cowslippick.scheduler.pool.InFlightAttempt;

/**
 * This entry's requests and attempts in one pool, kept in agreement with the pool's owner: whenever messages may have
 * been lost or the owner changed, all of them are sent again. Confined to one sequential executor.
 */
final class PoolClient {

    /** How long requests wait for an unreachable owner before they are refused. */
    static final Duration OWNER_TIMEOUT = Duration.ofSeconds(2);

    /** By this time after it was sent, a message was delivered, or its loss was detected and a resync was sent. */
    private static final Duration LOSS_DETECTION_TIME = Duration.ofSeconds(30);

    private final PoolKey pool;
    private final TimerService timer;
    private final GrantTransport transport;
    private final BiConsumer<PeerIdentity, PoolMessage> toLocalOwner;
    private final Map<RequestId, TrackedRequest> requests = new LinkedHashMap<>();
    private Optional<InstanceName> owner = Optional.empty();
    private Optional<Long> unreachableSinceNanos;
    private long newestEpoch;
    private boolean resyncNeeded;
    private long lastSentNanos;

    PoolClient(
            PoolKey pool,
            TimerService timer,
            GrantTransport transport,
            BiConsumer<PeerIdentity, PoolMessage> toLocalOwner) {
        this.pool = pool;
        this.timer = timer;
        this.transport = transport;
        this.toLocalOwner = toLocalOwner;
        this.unreachableSinceNanos = Optional.of(timer.nanoTime());
        this.lastSentNanos = timer.nanoTime();
    }

    void request(RequestDescriptor descriptor, GrantListener listener) {
        TrackedRequest request = new TrackedRequest(descriptor, listener);
        requests.put(descriptor.id(), request);
        if (resyncNeeded) {
            resync();
        } else {
            sendOffer(request);
        }
        refuseWaitingIfOwnerUnreachable();
    }

    void withdraw(RequestId request) {
        Optional.ofNullable(requests.remove(request)).ifPresent(_removed -> send(new Withdrawal(pool, request)));
    }

    void report(DispatchReport report) {
        Optional.ofNullable(requests.get(report.request()))
                .filter(_tracked -> report.phase().hasEnded())
                .ifPresent(tracked -> recordEnd(tracked, report));
        send(new Report(pool, report));
    }

    void receive(PeerIdentity sender, PoolMessage message) {
        if (!owner.equals(Optional.of(sender.name()))) {
            return;
        }
        if (message instanceof Granted granted && acceptEpoch(granted.epoch())) {
            handleGrant(granted.grant(), granted.epoch());
        } else if (message instanceof Refused refused && acceptEpoch(refused.epoch())) {
            handleRefusal(refused.request(), refused.failure());
        } else if (message instanceof ResyncRequest) {
            resyncNeeded = true;
            resync();
        }
    }

    /** Ends all requests at the previous owner and sends them to the new one, if there is one. */
    void changeOwner(Optional<InstanceName> changed) {
        if (changed.equals(owner)) {
            return;
        }
        if (owner.isPresent()) {
            send(new Resync(pool, ImmutableList.of(), ImmutableList.of(), newestEpoch));
        }
        owner = changed;
        unreachableSinceNanos = changed.isPresent() ? Optional.empty() : Optional.of(timer.nanoTime());
        resyncNeeded = true;
        resync();
    }

    void disconnected(InstanceName peer) {
        if (owner.equals(Optional.of(peer))) {
            resyncNeeded = true;
            unreachableSinceNanos = unreachableSinceNanos.or(() -> Optional.of(timer.nanoTime()));
        }
    }

    void connected(InstanceName peer) {
        if (owner.equals(Optional.of(peer))) {
            unreachableSinceNanos = Optional.empty();
            resync();
        }
    }

    void tick() {
        if (!requests.isEmpty() || timer.nanoTime() - lastSentNanos < LOSS_DETECTION_TIME.toNanos()) {
            resync();
        }
        refuseWaitingIfOwnerUnreachable();
    }

    private void handleGrant(Grant grant, long epoch) {
        TrackedRequest request = requests.get(grant.request());
        if (request == null) {
            returnGrant(grant);
        } else if (!request.isNewGrant(grant, epoch)) {
            return;
        } else if (request.canUse(grant)) {
            request.listener().granted(request.use(grant, epoch, timer.nanoTime()));
        } else if (!request.isInFlightOn(grant.endpoint())) {
            returnGrant(grant);
        }
    }

    private void handleRefusal(RequestId id, Failure failure) {
        Optional.ofNullable(requests.get(id)).ifPresent(request -> {
            if (request.isWaiting()) {
                requests.remove(id);
            }
            request.listener().refused(failure);
        });
    }

    private void recordEnd(TrackedRequest request, DispatchReport report) {
        request.removeAttempt(report.endpoint());
        if (request.isWaiting() && !report.retryWanted()) {
            requests.remove(report.request());
        }
    }

    /** Records the epoch of an owner's message; returns false, and requests a resync, if a newer one was seen. */
    private boolean acceptEpoch(long epoch) {
        if (epoch < newestEpoch) {
            resyncNeeded = true;
            return false;
        }
        newestEpoch = epoch;
        return true;
    }

    private void returnGrant(Grant grant) {
        send(new Report(
                pool, new DispatchReport(grant.request(), grant.endpoint(), DispatchPhase.CANCELLED, 0, 0, 0, false)));
    }

    private void sendOffer(TrackedRequest request) {
        long ageNanos = timer.nanoTime() - request.descriptor().arrivalNanos();
        send(new Offer(pool, request.descriptor(), ageNanos, newestEpoch, request.lastUsed()));
    }

    /** Sends all attempts in flight and waiting requests again if messages may have been lost. */
    private void resync() {
        if (!resyncNeeded || owner.isEmpty()) {
            return;
        }
        resyncNeeded = false;
        ImmutableList<TrackedRequest> all = ImmutableList.copyOf(requests.values());
        all.stream()
                .flatMap(request -> request.inFlight().stream())
                .takeWhile(_attempt -> !resyncNeeded)
                .forEach(this::sendAdoption);
        all.stream()
                .filter(TrackedRequest::isWaiting)
                .takeWhile(_request -> !resyncNeeded)
                .forEach(this::sendOffer);
        if (!resyncNeeded) {
            send(resyncOf(all));
        }
    }

    private void sendAdoption(InFlightAttempt attempt) {
        long now = timer.nanoTime();
        send(new Adoption(
                pool,
                attempt.request(),
                attempt.endpoint(),
                attempt.attempt(),
                now - attempt.request().arrivalNanos(),
                now - attempt.dispatchedAtNanos()));
    }

    private Resync resyncOf(ImmutableList<TrackedRequest> all) {
        return new Resync(
                pool,
                all.stream()
                        .filter(TrackedRequest::isWaiting)
                        .map(request -> request.descriptor().id())
                        .collect(ImmutableList.toImmutableList()),
                all.stream()
                        .flatMap(request -> request.inFlight().stream())
                        .map(attempt -> new Resync.AttemptKey(attempt.request().id(), attempt.endpoint()))
                        .collect(ImmutableList.toImmutableList()),
                newestEpoch);
    }

    private void send(PoolMessage message) {
        lastSentNanos = timer.nanoTime();
        boolean sent = owner.filter(receiver ->
                        transport.send(receiver, message, local -> toLocalOwner.accept(transport.self(), local)))
                .isPresent();
        if (!sent) {
            resyncNeeded = true;
            unreachableSinceNanos = unreachableSinceNanos.or(() -> Optional.of(timer.nanoTime()));
        }
    }

    private void refuseWaitingIfOwnerUnreachable() {
        boolean isUnreachable = unreachableSinceNanos
                .filter(since -> timer.nanoTime() - since >= OWNER_TIMEOUT.toNanos())
                .isPresent();
        if (!isUnreachable) {
            return;
        }
        Failure failure = Failure.of(
                ErrorKind.POOL_OWNER_UNREACHABLE,
                "the owner of pool " + pool + " was unreachable for at least " + OWNER_TIMEOUT.toMillis() + " ms");
        ImmutableList.copyOf(requests.values()).stream()
                .filter(TrackedRequest::isWaiting)
                .forEach(request -> {
                    requests.remove(request.descriptor().id());
                    request.listener().refused(failure);
                });
    }
}
