package org.cowslippick.relay.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.relay.client.ClientConnection.Activity;
import org.cowslippick.relay.client.ClientConnection.EvictionReason;
import org.cowslippick.relay.metrics.RelayMetrics;
import org.junit.jupiter.api.Test;

class EvictionOrderTest {

    private static final long NOW = Duration.ofSeconds(100).toNanos();
    private static final int LARGE = 1 << 20;

    /** Uploads that stop short of their end kept their memory while callers that make progress were refused. */
    @Test
    void closesTheLargestWithoutProgressFirst() {
        Fake progressing = new Fake(Activity.STALLING, 4 * LARGE, 0);
        Fake stalled = new Fake(Activity.STALLING, 2 * LARGE, 5);
        Fake smallAndStalled = new Fake(Activity.STALLING, LARGE, 50);
        assertEquals(
                Optional.of(stalled),
                EvictionOrder.forMemory(ImmutableList.of(progressing, smallAndStalled, stalled), NOW));
    }

    /** A request that an engine may be running must not be ended for the sake of others. */
    @Test
    void neverClosesARequestThatIsBeingServed() {
        Fake served = new Fake(Activity.SERVED, 4 * LARGE, 50);
        assertEquals(Optional.empty(), EvictionOrder.forMemory(ImmutableList.of(served), NOW));
        assertEquals(Optional.empty(), EvictionOrder.forConnection(ImmutableList.of(served), NOW));
    }

    /** Closing a readiness check frees nothing. */
    @Test
    void keepsConnectionsThatHoldLittle() {
        Fake small = new Fake(Activity.STALLING, 4 << 10, 50);
        assertEquals(Optional.empty(), EvictionOrder.forMemory(ImmutableList.of(small), NOW));
    }

    /** A crowd of silent connections left no descriptor for others. */
    @Test
    void givesTheConnectionThatIsIdleForLongestToANewOne() {
        Fake idle = new Fake(Activity.IDLE, 0, 3);
        Fake idleForLonger = new Fake(Activity.IDLE, 0, 7);
        Fake stalled = new Fake(Activity.STALLING, 0, 50);
        Fake fresh = new Fake(Activity.STALLING, 0, 0);
        assertEquals(
                Optional.of(idleForLonger),
                EvictionOrder.forConnection(ImmutableList.of(fresh, stalled, idle, idleForLonger), NOW));
        assertEquals(Optional.of(stalled), EvictionOrder.forConnection(ImmutableList.of(fresh, stalled), NOW));
        assertEquals(Optional.empty(), EvictionOrder.forConnection(ImmutableList.of(fresh), NOW));
    }

    /** What was held for a closed connection still counted, until nobody was served any more. */
    @Test
    void memoryOfClosedConnectionsIsFree() {
        ClientMemory memory = new ClientMemory(3L * LARGE, new ManualTimerService(), new RelayMetrics());
        ImmutableList<Fake> crowd =
                ImmutableList.of(new Fake(Activity.STALLING, 2 * LARGE, 5), new Fake(Activity.STALLING, 2 * LARGE, 5));
        crowd.forEach(connection -> {
            memory.add(connection);
            memory.change(connection.heldBytes());
        });
        assertEquals(1, crowd.stream().filter(connection -> connection.evicted).count());
        assertEquals(2L * LARGE, memory.totalBytes());
        crowd.forEach(memory::remove);
        assertEquals(0, memory.totalBytes());
    }

    /** A machine of the smallest deployed size keeps descriptors for engines and instances, and most of its heap. */
    @Test
    void limitsLeaveRoomForTheRestOfTheProcess() {
        ClientLimits limits = ClientLimits.of(180L << 20, 4_100);
        assertEquals(new ClientLimits((long) (0.45 * (180L << 20)), 2_340, 234), limits);
        assertEquals(8, ClientLimits.of(180L << 20, 100).statusConnections());
    }

    private static final class Fake implements ClientConnection {
        private final Activity activity;
        private final long heldBytes;
        private final long secondsWithoutProgress;
        private boolean evicted;

        Fake(Activity activity, long heldBytes, long secondsWithoutProgress) {
            this.activity = activity;
            this.heldBytes = heldBytes;
            this.secondsWithoutProgress = secondsWithoutProgress;
        }

        @Override
        public long heldBytes() {
            return heldBytes;
        }

        @Override
        public long progressNanos() {
            return NOW - Duration.ofSeconds(secondsWithoutProgress).toNanos();
        }

        @Override
        public Activity activity() {
            return activity;
        }

        @Override
        public void evict(EvictionReason _reason) {
            evicted = true;
        }
    }
}
