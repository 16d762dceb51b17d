package org.cowslippick.fleet.order;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.FencingSupport;
import org.cowslippick.fleet.order.OrderRecords.Versioned;
import org.cowslippick.fleet.platform.Platform;
import org.cowslippick.fleet.platform.PlatformFault;
import org.jboss.logging.Logger;

/**
 * Sends orders to endpoints. Each order is first recorded by a conditional write, whose version serves as the fencing
 * number. Endpoints that ignore fencing numbers are protected by leases: a pending record of another entry is replaced
 * only after it was unchanged for a whole lease, and no order is sent after its lease has expired. The effect of an
 * order that is delayed beyond its lease is detected and repaired by {@link #reconcile}. See Burrows, "The Chubby lock
 * service", on sequencers.
 */
public final class EndpointOrders {

    static final Duration LEASE = Duration.ofSeconds(30);
    static final Duration STATE_READ_PERIOD = Duration.ofSeconds(1);

    private static final Logger LOG = Logger.getLogger("cowslippick.orders");
    private static final int MAXIMUM_ATTEMPTS = 5;
    private static final int MAXIMUM_STATE_READS = 20;

    private final OrderRecords records;
    private final TimerService timer;

    public EndpointOrders(Platform platform, TimerService timer) {
        this.records = new OrderRecords(platform);
        this.timer = timer;
    }

    /** Records and sends the order, and waits until the endpoint's state reflects it. */
    public CompletableFuture<OrderResult> order(OrderReceiver endpoint, EndpointOrder order) {
        return attempt(new Attempt(endpoint, order, UUID.randomUUID().toString(), 0, 0));
    }

    /** Sends the last order again if it is still pending or if the endpoint's state no longer reflects it. */
    public CompletableFuture<OrderResult> reconcile(OrderReceiver endpoint) {
        return records.read(endpoint.name())
                .thenCompose(found -> found.fold(_fault -> completed(OrderResult.NOT_SENT), current -> current.record()
                        .map(last -> reconcile(endpoint, last))
                        .orElseGet(() -> completed(OrderResult.CONFIRMED))));
    }

    private CompletableFuture<OrderResult> reconcile(OrderReceiver endpoint, OrderRecord last) {
        if (last.phase() == OrderRecord.Phase.PENDING) {
            return repair(endpoint, last.order());
        }
        return endpoint.state().thenCompose(state -> state.filter(reported -> !reported.reflects(last.order()))
                .map(_changed -> repair(endpoint, last.order()))
                .orElseGet(() -> completed(OrderResult.CONFIRMED)));
    }

    private CompletableFuture<OrderResult> repair(OrderReceiver endpoint, EndpointOrder order) {
        LOG.warnf("orders: repair endpoint=%s order=%s target=%s", endpoint.name(), order.kind(), order.target());
        return order(endpoint, order);
    }

    /**
     * One attempt to record the order; {@code startedNanos} is a time before its last write, at which its lease starts.
     */
    private record Attempt(OrderReceiver endpoint, EndpointOrder order, String token, int number, long startedNanos) {

        Attempt next() {
            return new Attempt(endpoint, order, token, number + 1, startedNanos);
        }

        Attempt startedAt(long nanos) {
            return new Attempt(endpoint, order, token, number, nanos);
        }

        boolean ignoresFencing() {
            return endpoint.fencing() == FencingSupport.IGNORED;
        }
    }

    private CompletableFuture<OrderResult> attempt(Attempt attempt) {
        if (attempt.number() == MAXIMUM_ATTEMPTS) {
            return completed(OrderResult.NOT_SENT);
        }
        return records.read(attempt.endpoint().name())
                .thenCompose(found ->
                        found.fold(_fault -> completed(OrderResult.NOT_SENT), current -> proceed(attempt, current)));
    }

    private CompletableFuture<OrderResult> proceed(Attempt attempt, Versioned current) {
        if (current.isWrittenBy(attempt.token())) {
            return send(attempt, current.version().orElseThrow());
        }
        return attempt.ignoresFencing() && current.isPending()
                ? afterDelay(LEASE, () -> takeOverPending(attempt, current))
                : record(attempt, current);
    }

    /** Replaces the pending record of another entry if it did not change during a lease. */
    private CompletableFuture<OrderResult> takeOverPending(Attempt attempt, Versioned earlier) {
        return records.read(attempt.endpoint().name())
                .thenCompose(found -> found.fold(
                        _fault -> completed(OrderResult.NOT_SENT),
                        current -> current.version().equals(earlier.version())
                                ? record(attempt, current)
                                : attempt(attempt.next())));
    }

    private CompletableFuture<OrderResult> record(Attempt attempt, Versioned current) {
        Attempt started = attempt.startedAt(timer.nanoTime());
        return records.write(
                        attempt.endpoint().name(),
                        current.version(),
                        OrderRecord.pending(attempt.order(), attempt.token()))
                .thenCompose(written -> written.fold(
                        fault -> fault == PlatformFault.CONFLICT || fault == PlatformFault.ANSWER_LOST
                                ? attempt(started.next())
                                : completed(OrderResult.NOT_SENT),
                        version -> send(started, version)));
    }

    private CompletableFuture<OrderResult> send(Attempt attempt, long fencingNumber) {
        if (isLeaseExpired(attempt)) {
            return completed(OrderResult.NOT_SENT);
        }
        return attempt.endpoint().send(attempt.order(), fencingNumber).thenCompose(answer -> switch (answer) {
            case REFUSED_AS_STALE -> completed(OrderResult.SUPERSEDED);
            case ACCEPTED, NO_ANSWER -> awaitEffect(attempt, fencingNumber, 0);
        });
    }

    private CompletableFuture<OrderResult> awaitEffect(Attempt attempt, long fencingNumber, int stateReads) {
        if (stateReads == MAXIMUM_STATE_READS || isLeaseExpired(attempt)) {
            return completed(OrderResult.UNCONFIRMED);
        }
        return attempt.endpoint()
                .state()
                .thenCompose(state -> state.filter(reported -> reported.reflects(attempt.order()))
                                .isPresent()
                        ? recordConfirmed(attempt, fencingNumber)
                        : afterDelay(STATE_READ_PERIOD, () -> awaitEffect(attempt, fencingNumber, stateReads + 1)));
    }

    private CompletableFuture<OrderResult> recordConfirmed(Attempt attempt, long fencingNumber) {
        OrderRecord confirmed =
                OrderRecord.pending(attempt.order(), attempt.token()).confirmed();
        return records.write(attempt.endpoint().name(), OptionalLong.of(fencingNumber), confirmed)
                .thenApply(EndpointOrders::afterConfirmation);
    }

    private static OrderResult afterConfirmation(Either<PlatformFault, Long> written) {
        return written.fold(
                fault -> fault == PlatformFault.CONFLICT ? OrderResult.SUPERSEDED : OrderResult.UNCONFIRMED,
                _version -> OrderResult.CONFIRMED);
    }

    private boolean isLeaseExpired(Attempt attempt) {
        return attempt.ignoresFencing() && timer.nanoTime() - attempt.startedNanos() >= LEASE.toNanos();
    }

    private <R> CompletableFuture<R> afterDelay(Duration delay, Supplier<CompletableFuture<R>> next) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        timer.schedule(delay, () -> elapsed.complete(null));
        return elapsed.thenCompose(_elapsed -> next.get());
    }

    private static CompletableFuture<OrderResult> completed(OrderResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
