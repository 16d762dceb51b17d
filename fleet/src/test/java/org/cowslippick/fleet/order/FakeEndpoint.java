package org.cowslippick.fleet.order;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.FencingSupport;

/** An endpoint that carries out orders at once, or late when a test says so. */
final class FakeEndpoint implements OrderReceiver {

    private final FencingSupport fencing;
    private final ArrayDeque<Runnable> late = new ArrayDeque<>();
    private String model = "none";
    private long highest;
    private boolean delaying;
    private int sent;

    FakeEndpoint(FencingSupport fencing) {
        this.fencing = fencing;
    }

    /** Orders from now on get no answer and wait for {@link #carryOutLate()}. */
    void delay(boolean isDelaying) {
        delaying = isDelaying;
    }

    void carryOutLate() {
        while (!late.isEmpty()) {
            late.remove().run();
        }
    }

    String model() {
        return model;
    }

    int sent() {
        return sent;
    }

    @Override
    public EndpointName name() {
        return new EndpointName("engine-1");
    }

    @Override
    public FencingSupport fencing() {
        return fencing;
    }

    @Override
    public CompletableFuture<OrderAnswer> send(EndpointOrder order, long fencingNumber) {
        sent++;
        if (delaying) {
            late.add(() -> carryOut(order, fencingNumber));
            return CompletableFuture.completedFuture(OrderAnswer.NO_ANSWER);
        }
        return CompletableFuture.completedFuture(carryOut(order, fencingNumber));
    }

    @Override
    public CompletableFuture<Optional<EndpointOrderState>> state() {
        return CompletableFuture.completedFuture(
                Optional.of(new EndpointOrderState(model, "none", "none", "serve", highest)));
    }

    private OrderAnswer carryOut(EndpointOrder order, long fencingNumber) {
        if (fencing == FencingSupport.CHECKED && fencingNumber < highest) {
            return OrderAnswer.REFUSED_AS_STALE;
        }
        highest = Math.max(highest, fencingNumber);
        model = order.target();
        return OrderAnswer.ACCEPTED;
    }
}
