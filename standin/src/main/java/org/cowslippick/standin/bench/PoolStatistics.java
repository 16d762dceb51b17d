package org.cowslippick.standin.bench;

import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.atomic.LongAdder;
import org.cowslippick.scheduler.pool.EndpointSnapshot;
import org.cowslippick.scheduler.pool.PoolSnapshot;

/** Averages queue length, requests in flight and concurrency window over samples of pools that have work. */
final class PoolStatistics {

    private final LongAdder samples = new LongAdder();
    private final DoubleAdder queued = new DoubleAdder();
    private final DoubleAdder inFlight = new DoubleAdder();
    private final DoubleAdder window = new DoubleAdder();

    void recordSample(PoolSnapshot snapshot) {
        int inFlightCount = snapshot.endpoints().stream()
                .mapToInt(EndpointSnapshot::inFlight)
                .sum();
        if (inFlightCount > 0 || snapshot.queued() > 0) {
            samples.increment();
            queued.add(snapshot.queued());
            inFlight.add(inFlightCount);
            window.add(snapshot.endpoints().stream()
                    .mapToInt(EndpointSnapshot::window)
                    .sum());
        }
    }

    Means means() {
        double count = Math.max(1, samples.sum());
        return new Means(queued.sum() / count, inFlight.sum() / count, window.sum() / count);
    }

    /** Mean numbers of queued requests, of requests in flight and of slots in the concurrency windows. */
    record Means(double queued, double inFlight, double window) {}
}
