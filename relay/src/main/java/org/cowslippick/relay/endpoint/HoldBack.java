package org.cowslippick.relay.endpoint;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;

/**
 * Decides whether a request that must not run twice may be completed on a kept connection. The end of its head is held back
 * until the connection had the time to be reset by an endpoint that has dropped it. Until then the request cannot run.
 */
final class HoldBack {

    /** Twice the longest round trip within a region, 3 ms; the endpoint's kernel answers at once. */
    static final Duration DELAY = Duration.ofMillis(6);

    /** Receives the decision; at most one of the methods is called, and only once. */
    interface Listener {

        /** The connection is alive: the rest of the request may be written now. */
        void proven();

        /** The connection ended before the rest was written, so the request has not run. */
        void refuted();
    }

    private enum State {
        WRITING,
        WAITING,
        DECIDED
    }

    private final TimerService timer;
    private final Consumer<Runnable> afterReading;
    private final Listener listener;
    private State state = State.WRITING;
    private Optional<Subscription> delay = Optional.empty();

    /**
     * Creates a hold-back whose first bytes are not yet written.
     *
     * @param afterReading runs a task when everything is read that has arrived; a reset may have arrived together with the
     *     end of the delay
     */
    HoldBack(TimerService timer, Consumer<Runnable> afterReading, Listener listener) {
        this.timer = timer;
        this.afterReading = afterReading;
        this.listener = listener;
    }

    /** Records that the first bytes have left the process. */
    void firstBytesWritten() {
        if (state == State.WRITING) {
            state = State.WAITING;
            delay = Optional.of(timer.schedule(DELAY, () -> afterReading.accept(this::prove)));
        }
    }

    /** Records that the connection was closed or reset, or that unexpected bytes arrived. */
    void connectionEnded() {
        if (decide()) {
            listener.refuted();
        }
    }

    /** Ends the hold-back without a decision, as the request must not be sent any more. */
    void cancel() {
        decide();
    }

    private void prove() {
        if (decide()) {
            listener.proven();
        }
    }

    private boolean decide() {
        boolean isOpen = state != State.DECIDED;
        state = State.DECIDED;
        delay.ifPresent(Subscription::cancel);
        return isOpen;
    }
}
