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
 * Delays the first grants of a pool that was just taken over from another owner, until the slots granted by that owner
 * are known and are not granted twice. Also tells when a pool that went to another owner can be closed here.
 */
final class OwnershipTransitions {

    private static final Duration RELEASE_DELAY = Duration.ofSeconds(5);

    private final TimerService timer;
    private final Duration takeoverPause;
    private final Map<PoolKey, Long> notOwnedSinceNanos = new ConcurrentHashMap<>();
    private final AtomicReference<ImmutableList<Change>> recentChanges = new AtomicReference<>(ImmutableList.of());

    OwnershipTransitions(TimerService timer, Duration takeoverPause) {
        this.timer = timer;
        this.takeoverPause = takeoverPause;
    }

    void recordChange(InstanceName self, Ownership before, Ownership after) {
        Change change = new Change(self, before, after, timer.nanoTime());
        recentChanges.updateAndGet(changes -> Stream.concat(changes.stream().filter(this::isPausing), Stream.of(change))
                .collect(ImmutableList.toImmutableList()));
    }

    /** Runs the action at once, or after the pause if the pool was just taken over. */
    void runAfterTakeoverPause(PoolKey pool, Runnable action) {
        recentChanges.get().stream()
                .filter(this::isPausing)
                .filter(change -> change.isTakeoverOf(pool))
                .findFirst()
                .ifPresentOrElse(change -> timer.schedule(Duration.ofNanos(remainingNanos(change)), action), action);
    }

    /** Whether the pool has not been owned here for longer than the release delay, so that it can be closed here. */
    boolean isReleaseDue(PoolKey pool, boolean isOwned) {
        if (isOwned) {
            notOwnedSinceNanos.remove(pool);
            return false;
        }
        long since = notOwnedSinceNanos.computeIfAbsent(pool, _pool -> timer.nanoTime());
        boolean isDue = timer.nanoTime() - since > RELEASE_DELAY.toNanos();
        if (isDue) {
            notOwnedSinceNanos.remove(pool);
        }
        return isDue;
    }

    private boolean isPausing(Change change) {
        return remainingNanos(change) > 0;
    }

    private long remainingNanos(Change change) {
        return change.atNanos + takeoverPause.toNanos() - timer.nanoTime();
    }

    private record Change(InstanceName self, Ownership before, Ownership after, long atNanos) {

        boolean isTakeoverOf(PoolKey pool) {
            Optional<InstanceName> previous = owner(before, pool);
            return owner(after, pool).filter(self::equals).isPresent()
                    && previous.filter(name -> !name.equals(self)).isPresent();
        }

        private static Optional<InstanceName> owner(Ownership ownership, PoolKey pool) {
            return ownership.ownerOf(pool).map(Member::name);
        }
    }
}
