package org.cowslippick.entry.request;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Contract;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;

/** Takes the times of one request that its receipt shows. */
final class RequestClock {

    private final TimerService timer;
    private final AdmittedRequest request;
    private final InstanceName entry;
    private volatile long dispatchedAtNanos;
    private volatile long firstTokenAtNanos;
    private volatile long lastTokenAtNanos;
    private volatile int tokens;

    RequestClock(TimerService timer, AdmittedRequest request, InstanceName entry) {
        this.timer = timer;
        this.request = request;
        this.entry = entry;
    }

    void dispatched() {
        if (dispatchedAtNanos == 0) {
            dispatchedAtNanos = timer.nanoTime();
        }
    }

    /** Called by the thread of the one winning attempt. */
    @SuppressWarnings("NonAtomicVolatileUpdate")
    void token() {
        long now = timer.nanoTime();
        if (firstTokenAtNanos == 0) {
            firstTokenAtNanos = now;
        }
        lastTokenAtNanos = now;
        tokens++;
    }

    boolean firstTokenSeen() {
        return firstTokenAtNanos != 0;
    }

    int tokens() {
        return tokens;
    }

    long betweenTokensNanos() {
        return tokens < 2 ? 0 : (lastTokenAtNanos - firstTokenAtNanos) / (tokens - 1);
    }

    long progressAtNanos() {
        return Math.max(dispatchedAtNanos, lastTokenAtNanos);
    }

    Receipt receipt(Optional<EndpointName> endpoint, boolean answered) {
        Contract contract = request.contract();
        Duration firstToken =
                Duration.ofNanos(firstTokenAtNanos - request.descriptor().arrivalNanos());
        Duration betweenTokens = Duration.ofNanos(betweenTokensNanos());
        boolean kept = answered
                && firstToken.compareTo(contract.firstToken()) <= 0
                && betweenTokens.compareTo(contract.betweenTokens()) <= 0
                && timer.nanoTime() <= request.descriptor().deadlineAtNanos();
        return new Receipt(
                request.id(),
                entry,
                contract.tier().name(),
                endpoint,
                queueTime(),
                firstTokenSeen() ? Optional.of(firstToken) : Optional.empty(),
                tokens < 2 ? Optional.empty() : Optional.of(betweenTokens),
                contract.firstToken(),
                contract.betweenTokens(),
                kept);
    }

    private Duration queueTime() {
        long end = dispatchedAtNanos == 0 ? timer.nanoTime() : dispatchedAtNanos;
        return Duration.ofNanos(end - request.descriptor().arrivalNanos());
    }
}
