package org.cowslippick.relay.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cowslippick.core.time.ManualTimerService;
import org.junit.jupiter.api.Test;

/** When a request that must not run twice is completed on a kept connection, and when it goes to a new one. */
class HoldBackTest {

    private final ManualTimerService timer = new ManualTimerService();
    private final List<Runnable> afterReading = new ArrayList<>();
    private final List<String> decisions = new ArrayList<>();
    private final HoldBack holdBack = new HoldBack(timer, afterReading::add, new HoldBack.Listener() {
        @Override
        public void proven() {
            decisions.add("proven");
        }

        @Override
        public void refuted() {
            decisions.add("refuted");
        }
    });

    @Test
    void aConnectionThatStaysOpenIsProvenAfterTheDelayAndFurtherReading() {
        holdBack.firstBytesWritten();
        timer.advance(HoldBack.DELAY.minusNanos(1));
        assertEquals(List.of(), afterReading);
        timer.advance(Duration.ofNanos(1));
        assertEquals(List.of(), decisions);
        afterReading.forEach(Runnable::run);
        assertEquals(List.of("proven"), decisions);
    }

    /** The end of the request would be lost on a dropped connection if the delay began before the first bytes left. */
    @Test
    void theDelayBeginsWithTheFirstBytes() {
        timer.advance(HoldBack.DELAY.multipliedBy(2));
        assertEquals(List.of(), afterReading);
    }

    /** On a busy loop the reset is read only after the timer has run. */
    @Test
    void aResetThatIsReadAfterTheDelayRefutes() {
        holdBack.firstBytesWritten();
        timer.advance(HoldBack.DELAY);
        holdBack.connectionEnded();
        afterReading.forEach(Runnable::run);
        assertEquals(List.of("refuted"), decisions);
    }

    /** A reset is reported as an exception and as the end of the channel; the request must be sent only once more. */
    @Test
    void anEndThatIsReportedTwiceRefutesOnce() {
        holdBack.connectionEnded();
        holdBack.connectionEnded();
        timer.advance(HoldBack.DELAY);
        assertEquals(List.of("refuted"), decisions);
    }

    @Test
    void aCancelledRequestIsNeitherCompletedNorSentAgain() {
        holdBack.firstBytesWritten();
        timer.advance(HoldBack.DELAY);
        holdBack.cancel();
        holdBack.connectionEnded();
        afterReading.forEach(Runnable::run);
        assertEquals(List.of(), decisions);
    }
}
