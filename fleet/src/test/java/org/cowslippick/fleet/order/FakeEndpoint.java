package org.cowslippick.fleet.order;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.FencingSupport;

/** An endpoint that executes orders at once, or delays them until a test calls {@link #executeDelayed()}. */
final class FakeEndpoint implements OrderReceiver {

    private final FencingSupport fencing;
    private final ArrayDeque<Runnable> delayedOrders = new ArrayDeque<>();
    private String model = "none";
    private long highestFencingNumber;
    private boolean isDelaying;
    private int sentCount;

    FakeEndpoint(FencingSupport fencing) {
        this.fencing = fencing;
    }

    /** While delaying, orders get no answer and wait for {@link #executeDelayed()}. */
    void setDelaying(boolean isDelaying) {
        this.isDelaying = isDelaying;
    }

    void executeDelayed() {
        while (!delayedOrders.isEmpty()) {
            delayedOrders.remove().run();
        }
    }

    String model() {
        return model;
    }

    int sentCount() {
        return sentCount;
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
        sentCount++;
        if (isDelaying) {
            delayedOrders.add(() -> execute(order, fencingNumber));
            return CompletableFuture.completedFuture(OrderAnswer.NO_ANSWER);
        }
        return CompletableFuture.completedFuture(execute(order, fencingNumber));
    }

    @Override
    public CompletableFuture<Optional<EndpointOrderState>> state() {
        return CompletableFuture.completedFuture(
                Optional.of(new EndpointOrderState(model, "none", "none", "serve", highestFencingNumber)));
    }

    private OrderAnswer execute(EndpointOrder order, long fencingNumber) {
        if (fencing == FencingSupport.CHECKED && fencingNumber < highestFencingNumber) {
            return OrderAnswer.REFUSED_AS_STALE;
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        model = order.target();
        return OrderAnswer.ACCEPTED;
    }
}
