package org.cowslippick.standin.bench;

import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.atomic.LongAdder;
import org.cowslippick.scheduler.pool.EndpointSnapshot;
import org.cowslippick.scheduler.pool.PoolSnapshot;

/** The means of what pools looked like while they had work. */
final class PoolSamples {

    private final LongAdder samples = new LongAdder();
    private final DoubleAdder queued = new DoubleAdder();
    private final DoubleAdder inFlight = new DoubleAdder();
    private final DoubleAdder window = new DoubleAdder();

    void add(PoolSnapshot snapshot) {
        int running = snapshot.endpoints().stream()
                .mapToInt(EndpointSnapshot::inFlight)
                .sum();
        if (running > 0 || snapshot.queued() > 0) {
            samples.increment();
            queued.add(snapshot.queued());
            inFlight.add(running);
            window.add(snapshot.endpoints().stream()
                    .mapToInt(EndpointSnapshot::window)
                    .sum());
        }
    }

    Means means() {
        double count = Math.max(1, samples.sum());
        return new Means(queued.sum() / count, inFlight.sum() / count, window.sum() / count);
    }

    /** Requests in the queue, requests dispatched, and slots that the pool saw, on average. */
    record Means(double queued, double inFlight, double window) {}
}
