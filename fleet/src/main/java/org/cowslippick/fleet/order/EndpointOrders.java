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
 * Gives orders to endpoints. Each is first recorded by a conditional write, whose version is the fencing number. An
 * endpoint that ignores fencing numbers has one order in flight: a pending record of another entry is left alone until
 * it was seen unchanged for a whole lease, and nobody sends an order when its lease is over. What a late order changes
 * all the same is found and repaired by {@link #reconcile}. See Burrows, "The Chubby lock service", on sequencers.
 */
public final class EndpointOrders {

    static final Duration LEASE = Duration.ofSeconds(30);
    static final Duration CONFIRMATION_PERIOD = Duration.ofSeconds(1);

    private static final Logger LOG = Logger.getLogger("cowslippick.orders");
    private static final int MAXIMUM_ATTEMPTS = 5;
    private static final int MAXIMUM_READINGS = 20;

    private final OrderRecords records;
    private final TimerService timer;

    public EndpointOrders(Platform platform, TimerService timer) {
        this.records = new OrderRecords(platform);
        this.timer = timer;
    }

    /** Records the order, sends it and waits until the endpoint shows its effect. */
    public CompletableFuture<OrderResult> order(OrderReceiver endpoint, EndpointOrder order) {
        return attempt(new Attempt(endpoint, order, UUID.randomUUID().toString(), 0, 0));
    }

    /** Gives the last order again if it was left pending or if the endpoint does not show its effect any more. */
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
        return endpoint.state().thenCompose(state -> state.filter(shown -> !shown.shows(last.order()))
                .map(_changed -> repair(endpoint, last.order()))
                .orElseGet(() -> completed(OrderResult.CONFIRMED)));
    }

    private CompletableFuture<OrderResult> repair(OrderReceiver endpoint, EndpointOrder order) {
        LOG.warnf("orders: repair endpoint=%s order=%s target=%s", endpoint.name(), order.kind(), order.target());
        return order(endpoint, order);
    }

    /** One try to record the order; {@code startedNanos} is before its last write. */
    private record Attempt(OrderReceiver endpoint, EndpointOrder order, String token, int number, long startedNanos) {

        Attempt next() {
            return new Attempt(endpoint, order, token, number + 1, startedNanos);
        }

        Attempt at(long nanos) {
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
                        found.fold(_fault -> completed(OrderResult.NOT_SENT), current -> onRecord(attempt, current)));
    }

    private CompletableFuture<OrderResult> onRecord(Attempt attempt, Versioned current) {
        if (current.writtenBy(attempt.token())) {
            return send(attempt, current.version().orElseThrow());
        }
        return attempt.ignoresFencing() && current.pending()
                ? after(LEASE, () -> takeOver(attempt, current))
                : record(attempt, current);
    }

    /** Goes on only if the pending record of the other entry did not change for a lease. */
    private CompletableFuture<OrderResult> takeOver(Attempt attempt, Versioned seen) {
        return records.read(attempt.endpoint().name())
                .thenCompose(found -> found.fold(
                        _fault -> completed(OrderResult.NOT_SENT),
                        current -> current.version().equals(seen.version())
                                ? record(attempt, current)
                                : attempt(attempt.next())));
    }

    private CompletableFuture<OrderResult> record(Attempt attempt, Versioned current) {
        Attempt started = attempt.at(timer.nanoTime());
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
        if (leaseOver(attempt)) {
            return completed(OrderResult.NOT_SENT);
        }
        return attempt.endpoint().send(attempt.order(), fencingNumber).thenCompose(answer -> switch (answer) {
            case REFUSED_AS_STALE -> completed(OrderResult.SUPERSEDED);
            case ACCEPTED, NO_ANSWER -> confirm(attempt, fencingNumber, 0);
        });
    }

    private CompletableFuture<OrderResult> confirm(Attempt attempt, long fencingNumber, int reading) {
        if (reading == MAXIMUM_READINGS || leaseOver(attempt)) {
            return completed(OrderResult.UNCONFIRMED);
        }
        return attempt.endpoint()
                .state()
                .thenCompose(state ->
                        state.filter(shown -> shown.shows(attempt.order())).isPresent()
                                ? recordConfirmed(attempt, fencingNumber)
                                : after(CONFIRMATION_PERIOD, () -> confirm(attempt, fencingNumber, reading + 1)));
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

    private boolean leaseOver(Attempt attempt) {
        return attempt.ignoresFencing() && timer.nanoTime() - attempt.startedNanos() >= LEASE.toNanos();
    }

    private <R> CompletableFuture<R> after(Duration delay, Supplier<CompletableFuture<R>> next) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        timer.after(delay, () -> elapsed.complete(null));
        return elapsed.thenCompose(_elapsed -> next.get());
    }

    private static CompletableFuture<OrderResult> completed(OrderResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
