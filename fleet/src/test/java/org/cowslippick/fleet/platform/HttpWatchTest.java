package org.cowslippick.fleet.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cowslippick.core.time.ManualTimerService;
import org.junit.jupiter.api.Test;

class HttpWatchTest {

    /** Changes are in force within 19 s; the rest is for the list that follows, and for passing them on. */
    private static final Duration FOUND_WITHIN = Duration.ofSeconds(15);

    private final ManualTimerService timer = new ManualTimerService();
    private final List<PlatformFault> ends = new ArrayList<>();

    /** The check for silence was so late that a change after the last heartbeat could not be in force in time. */
    @Test
    void endsASilentWatchEarlyEnoughForChangesToBeInForceInTime() {
        HttpWatch watch = new HttpWatch("settings", timer, new EndRecorder());
        timer.advance(FOUND_WITHIN);
        assertEquals(List.of(PlatformFault.UNAVAILABLE), ends);
        watch.cancel();
    }

    private final class EndRecorder implements WatchListener {
        @Override
        public void changed(StoredObject _object) {}

        @Override
        public void deleted(ObjectKey _key, long _version) {}

        @Override
        public void ended(PlatformFault reason) {
            ends.add(reason);
        }
    }
}
