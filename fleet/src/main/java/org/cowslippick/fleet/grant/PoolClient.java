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
import org.cowslippick.scheduler.pool.InFlight;

/**
 * What this entry has in one pool, and its side of the agreement with the pool's owner. Whenever messages may have been
 * lost or the owner changed, everything is repeated. Used by one thread at a time.
 */
final class PoolClient {

    /** How long requests wait for an owner that cannot be reached before they are refused. */
    static final Duration OWNER_WAIT = Duration.ofSeconds(2);

    /** Messages older than this were delivered, or known to be lost and repeated. */
    private static final Duration QUIET_TIME = Duration.ofSeconds(30);

    private final PoolKey pool;
    private final TimerService timer;
    private final GrantTransport transport;
    private final BiConsumer<PeerIdentity, PoolMessage> toLocalOwner;
    private final Map<RequestId, TrackedRequest> requests = new LinkedHashMap<>();
    private Optional<InstanceName> owner = Optional.empty();
    private Optional<Long> lostSinceNanos;
    private long newestEpoch;
    private boolean unsure;
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
        this.lostSinceNanos = Optional.of(timer.nanoTime());
        this.lastSentNanos = timer.nanoTime();
    }

    void request(RequestDescriptor descriptor, GrantListener listener) {
        TrackedRequest request = new TrackedRequest(descriptor, listener);
        requests.put(descriptor.id(), request);
        if (unsure) {
            resync();
        } else {
            offer(request);
        }
        refuseIfOwnerLost();
    }

    void withdraw(RequestId request) {
        Optional.ofNullable(requests.remove(request)).ifPresent(_removed -> send(new Withdrawal(pool, request)));
    }

    void report(DispatchReport report) {
        Optional.ofNullable(requests.get(report.request()))
                .filter(_tracked -> report.phase().ended())
                .ifPresent(tracked -> ended(tracked, report));
        send(new Report(pool, report));
    }

    void received(PeerIdentity sender, PoolMessage message) {
        if (!owner.equals(Optional.of(sender.name()))) {
            return;
        }
        if (message instanceof Granted granted && current(granted.epoch())) {
            granted(granted.grant(), granted.epoch());
        } else if (message instanceof Refused refused && current(refused.epoch())) {
            refused(refused.request(), refused.failure());
        } else if (message instanceof ResyncRequest) {
            unsure = true;
            resync();
        }
    }

    /** The owner is another one now, or nobody. */
    void ownerIs(Optional<InstanceName> changed) {
        if (changed.equals(owner)) {
            return;
        }
        if (owner.isPresent()) {
            send(new Resync(pool, ImmutableList.of(), ImmutableList.of(), newestEpoch));
        }
        owner = changed;
        lostSinceNanos = changed.isPresent() ? Optional.empty() : Optional.of(timer.nanoTime());
        unsure = true;
        resync();
    }

    void disconnected(InstanceName peer) {
        if (owner.equals(Optional.of(peer))) {
            unsure = true;
            lostSinceNanos = lostSinceNanos.or(() -> Optional.of(timer.nanoTime()));
        }
    }

    void connected(InstanceName peer) {
        if (owner.equals(Optional.of(peer))) {
            lostSinceNanos = Optional.empty();
            resync();
        }
    }

    void tick() {
        if (!requests.isEmpty() || timer.nanoTime() - lastSentNanos < QUIET_TIME.toNanos()) {
            resync();
        }
        refuseIfOwnerLost();
    }

    private void granted(Grant grant, long epoch) {
        TrackedRequest request = requests.get(grant.request());
        if (request == null) {
            giveBack(grant);
        } else if (!request.fresh(grant, epoch)) {
            return;
        } else if (request.usable(grant)) {
            request.listener().granted(request.use(grant, epoch, timer.nanoTime()));
        } else if (!request.runsOn(grant.endpoint())) {
            giveBack(grant);
        }
    }

    private void refused(RequestId id, Failure failure) {
        Optional.ofNullable(requests.get(id)).ifPresent(request -> {
            if (request.waiting()) {
                requests.remove(id);
            }
            request.listener().refused(failure);
        });
    }

    private void ended(TrackedRequest request, DispatchReport report) {
        request.ended(report.endpoint());
        if (request.waiting() && !report.retryWanted()) {
            requests.remove(report.request());
        }
    }

    /** Whether a message of the owner is not older than what was seen of this pool. */
    private boolean current(long epoch) {
        if (epoch < newestEpoch) {
            unsure = true;
            return false;
        }
        newestEpoch = epoch;
        return true;
    }

    private void giveBack(Grant grant) {
        send(new Report(
                pool, new DispatchReport(grant.request(), grant.endpoint(), DispatchPhase.CANCELLED, 0, 0, 0, false)));
    }

    private void offer(TrackedRequest request) {
        long ageNanos = timer.nanoTime() - request.descriptor().arrivalNanos();
        send(new Offer(pool, request.descriptor(), ageNanos, newestEpoch, request.lastUsed()));
    }

    /** Repeats everything if messages may have been lost. */
    private void resync() {
        if (!unsure || owner.isEmpty()) {
            return;
        }
        unsure = false;
        ImmutableList<TrackedRequest> all = ImmutableList.copyOf(requests.values());
        all.stream()
                .flatMap(request -> request.inFlight().stream())
                .takeWhile(_attempt -> !unsure)
                .forEach(this::adopt);
        all.stream()
                .filter(TrackedRequest::waiting)
                .takeWhile(_request -> !unsure)
                .forEach(this::offer);
        if (!unsure) {
            send(summary(all));
        }
    }

    private void adopt(InFlight attempt) {
        long now = timer.nanoTime();
        send(new Adoption(
                pool,
                attempt.request(),
                attempt.endpoint(),
                attempt.attempt(),
                now - attempt.request().arrivalNanos(),
                now - attempt.dispatchedAtNanos()));
    }

    private Resync summary(ImmutableList<TrackedRequest> all) {
        return new Resync(
                pool,
                all.stream()
                        .filter(TrackedRequest::waiting)
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
            unsure = true;
            lostSinceNanos = lostSinceNanos.or(() -> Optional.of(timer.nanoTime()));
        }
    }

    private void refuseIfOwnerLost() {
        boolean lost = lostSinceNanos
                .filter(since -> timer.nanoTime() - since >= OWNER_WAIT.toNanos())
                .isPresent();
        if (!lost) {
            return;
        }
        Failure failure = Failure.of(ErrorKind.POOL_OWNER_UNREACHABLE, "the owner of pool " + pool + " did not answer");
        ImmutableList.copyOf(requests.values()).stream()
                .filter(TrackedRequest::waiting)
                .forEach(request -> {
                    requests.remove(request.descriptor().id());
                    request.listener().refused(failure);
                });
    }
}
