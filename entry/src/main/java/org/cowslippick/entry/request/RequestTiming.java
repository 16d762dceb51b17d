package org.cowslippick.entry.request;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Contract;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;

/** Measures the times of one request and creates its receipt. */
final class RequestTiming {

    private final TimerService timer;
    private final AdmittedRequest request;
    private final InstanceName entry;
    private volatile long dispatchedAtNanos;
    private volatile long firstTokenAtNanos;
    private volatile long lastTokenAtNanos;
    private volatile int tokenCount;

    RequestTiming(TimerService timer, AdmittedRequest request, InstanceName entry) {
        this.timer = timer;
        this.request = request;
        this.entry = entry;
    }

    void recordDispatch() {
        if (dispatchedAtNanos == 0) {
            dispatchedAtNanos = timer.nanoTime();
        }
    }

    /** Called only by the thread of the winning attempt, so the non-atomic update is safe. */
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void recordToken() {
        long now = timer.nanoTime();
        if (firstTokenAtNanos == 0) {
            firstTokenAtNanos = now;
        }
        lastTokenAtNanos = now;
        tokenCount++;
    }

    boolean hasFirstToken() {
        return firstTokenAtNanos != 0;
    }

    int tokenCount() {
        return tokenCount;
    }

    long betweenTokensNanos() {
        return tokenCount < 2 ? 0 : (lastTokenAtNanos - firstTokenAtNanos) / (tokenCount - 1);
    }

    long lastProgressAtNanos() {
        return Math.max(dispatchedAtNanos, lastTokenAtNanos);
    }

    Receipt receipt(Optional<EndpointName> endpoint, boolean isAnswered) {
        Contract contract = request.contract();
        Duration firstToken =
                Duration.ofNanos(firstTokenAtNanos - request.descriptor().arrivalNanos());
        Duration betweenTokens = Duration.ofNanos(betweenTokensNanos());
        boolean kept = isAnswered
                && firstToken.compareTo(contract.firstToken()) <= 0
                && betweenTokens.compareTo(contract.betweenTokens()) <= 0
                && timer.nanoTime() <= request.descriptor().deadlineAtNanos();
        return new Receipt(
                request.id(),
                entry,
                contract.tier().name(),
                endpoint,
                queueTime(),
                hasFirstToken() ? Optional.of(firstToken) : Optional.empty(),
                tokenCount < 2 ? Optional.empty() : Optional.of(betweenTokens),
                contract.firstToken(),
                contract.betweenTokens(),
                kept);
    }

    private Duration queueTime() {
        long end = dispatchedAtNanos == 0 ? timer.nanoTime() : dispatchedAtNanos;
        return Duration.ofNanos(end - request.descriptor().arrivalNanos());
    }
}
