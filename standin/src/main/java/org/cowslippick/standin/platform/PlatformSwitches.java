package org.cowslippick.standin.platform;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/** The faults of a stand-in platform, switched while it runs. */
public final class PlatformSwitches {

    private volatile boolean down;
    private volatile Duration delay = Duration.ZERO;
    private volatile Duration listLag = Duration.ZERO;
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final Runnable endWatches;
    private final Runnable forgetHistory;

    PlatformSwitches(Runnable endWatches, Runnable forgetHistory) {
        this.endWatches = endWatches;
        this.forgetHistory = forgetHistory;
    }

    /** While down, every call is refused with 503 and every watch has ended. */
    public void down(boolean isDown) {
        down = isDown;
        if (isDown) {
            endWatches.run();
        }
    }

    /** Delays every call by so much before it is carried out. */
    public void slow(Duration byDelay) {
        delay = byDelay;
    }

    /** Carries out the next writes, but closes the connection in place of an answer. */
    public void loseAnswers(int count) {
        answersToLose.set(count);
    }

    /** Ends every watch and forgets the history, so that a watch cannot go on where it was. */
    public void watchGap() {
        forgetHistory.run();
        endWatches.run();
    }

    /** Shows changes of the instance list only after the time. */
    public void listLag(Duration lag) {
        listLag = lag;
    }

    boolean down() {
        return down;
    }

    Duration delay() {
        return delay;
    }

    Duration listLag() {
        return listLag;
    }

    boolean loseThisAnswer() {
        return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }
}
