package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.ownership.Ownership;

/**
 * Postpones the first grants of a pool that another entry owned a moment ago, so that the slots which that owner
 * granted are known before they are granted again.
 */
final class OwnershipTransitions {

    private static final Duration RELEASE_DELAY = Duration.ofSeconds(5);

    private final TimerService timer;
    private final Duration pause;
    private final Map<PoolKey, Long> released = new ConcurrentHashMap<>();
    private final AtomicReference<ImmutableList<Change>> recent = new AtomicReference<>(ImmutableList.of());

    OwnershipTransitions(TimerService timer, Duration pause) {
        this.timer = timer;
        this.pause = pause;
    }

    void changed(InstanceName self, Ownership before, Ownership after) {
        Change change = new Change(self, before, after, timer.nanoTime());
        recent.updateAndGet(changes -> Stream.concat(changes.stream().filter(this::pausing), Stream.of(change))
                .collect(ImmutableList.toImmutableList()));
    }

    /** Runs the action at once, or when the pause of a pool just taken over has passed. */
    void whenSettled(PoolKey pool, Runnable action) {
        recent.get().stream()
                .filter(this::pausing)
                .filter(change -> change.takenOver(pool))
                .findFirst()
                .ifPresentOrElse(change -> timer.after(Duration.ofNanos(remainingNanos(change)), action), action);
    }

    /** Whether a pool that is not owned here has been so for a while. */
    boolean longReleased(PoolKey pool, boolean owned) {
        if (owned) {
            released.remove(pool);
            return false;
        }
        long since = released.computeIfAbsent(pool, _pool -> timer.nanoTime());
        boolean longAgo = timer.nanoTime() - since > RELEASE_DELAY.toNanos();
        if (longAgo) {
            released.remove(pool);
        }
        return longAgo;
    }

    private boolean pausing(Change change) {
        return remainingNanos(change) > 0;
    }

    private long remainingNanos(Change change) {
        return change.sinceNanos + pause.toNanos() - timer.nanoTime();
    }

    private record Change(InstanceName self, Ownership before, Ownership after, long sinceNanos) {

        boolean takenOver(PoolKey pool) {
            Optional<InstanceName> previous = owner(before, pool);
            return owner(after, pool).filter(self::equals).isPresent()
                    && previous.filter(name -> !name.equals(self)).isPresent();
        }

        private static Optional<InstanceName> owner(Ownership ownership, PoolKey pool) {
            return ownership.ownerOf(pool).map(Member::name);
        }
    }
}
