package org.cowslippick.standin.bench;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts requests that a pool refused for overload while a request of a lower tier waited. Requests whose deadline
 * passed in the queue are counted separately.
 */
final class ShedInversions {

    private final AtomicLong shed = new AtomicLong();
    private final AtomicLong expired = new AtomicLong();

    void countShed() {
        shed.incrementAndGet();
    }

    void countExpired() {
        expired.incrementAndGet();
    }

    long shed() {
        return shed.get();
    }

    long expired() {
        return expired.get();
    }
}
