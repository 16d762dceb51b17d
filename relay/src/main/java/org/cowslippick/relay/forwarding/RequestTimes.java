package org.cowslippick.relay.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.routing.RouteKind;
import org.cowslippick.relay.metrics.RequestMeasurement;

/** When the steps of a request were taken. */
final class RequestTimes {

    private final long arrivedAtNanos;
    private Optional<Long> grantedAtNanos = Optional.empty();
    private Optional<Long> firstPartAtNanos = Optional.empty();
    private long lastPartAtNanos;
    private Duration longestPause = Duration.ZERO;

    RequestTimes(long arrivedAtNanos) {
        this.arrivedAtNanos = arrivedAtNanos;
    }

    /** Records the latest grant of a slot. */
    void granted(long nowNanos) {
        grantedAtNanos = Optional.of(nowNanos);
    }

    /** Records a part of the response, or the whole of it. */
    void partForwarded(long nowNanos) {
        if (firstPartAtNanos.isEmpty()) {
            firstPartAtNanos = Optional.of(nowNanos);
        } else if (nowNanos - lastPartAtNanos > longestPause.toNanos()) {
            longestPause = Duration.ofNanos(nowNanos - lastPartAtNanos);
        }
        lastPartAtNanos = nowNanos;
    }

    /** From the arrival to the grant of the slot; empty if none was granted. */
    Optional<Duration> waited() {
        return grantedAtNanos.map(this::sinceArrival);
    }

    /** From the arrival to the first part of the response; empty if there was none. */
    Optional<Duration> first() {
        return firstPartAtNanos.map(this::sinceArrival);
    }

    Duration longestPause() {
        return longestPause;
    }

    Duration sinceArrival(long atNanos) {
        return Duration.ofNanos(atNanos - arrivedAtNanos);
    }

    RequestMeasurement measurement(String result, int rank, RouteKind kind, long nowNanos) {
        return new RequestMeasurement(result, rank, kind, waited(), first(), sinceArrival(nowNanos));
    }
}
