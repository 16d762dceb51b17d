package org.cowslippick.standin.platform;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/** Injects faults into a stand-in platform while it runs. */
public final class FaultInjector {

    private volatile boolean isUnavailable;
    private volatile Duration delay = Duration.ZERO;
    private volatile Duration instanceListDelay = Duration.ZERO;
    private final AtomicInteger responsesToLose = new AtomicInteger();
    private final Runnable endWatches;
    private final Runnable discardHistory;

    FaultInjector(Runnable endWatches, Runnable discardHistory) {
        this.endWatches = endWatches;
        this.discardHistory = discardHistory;
    }

    /** While the platform is unavailable, every call is answered with 503; existing watches end. */
    public void setUnavailable(boolean isNowUnavailable) {
        isUnavailable = isNowUnavailable;
        if (isNowUnavailable) {
            endWatches.run();
        }
    }

    /** Delays the execution of every call. */
    public void setDelay(Duration newDelay) {
        delay = newDelay;
    }

    /** Executes the next writes, but closes the connection instead of responding. */
    public void loseResponses(int count) {
        responsesToLose.set(count);
    }

    /** Ends every watch and discards the history, so that a watch cannot resume at its last version. */
    public void endWatchesAndDiscardHistory() {
        discardHistory.run();
        endWatches.run();
    }

    /** Delays the visibility of later changes of the instance list. */
    public void setInstanceListDelay(Duration newDelay) {
        instanceListDelay = newDelay;
    }

    boolean isUnavailable() {
        return isUnavailable;
    }

    Duration delay() {
        return delay;
    }

    Duration instanceListDelay() {
        return instanceListDelay;
    }

    /** Returns whether the response to the current write is lost, and counts it. */
    boolean consumeResponseLoss() {
        return responsesToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }
}
