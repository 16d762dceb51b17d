package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.util.concurrent.MoreExecutors;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.scheduler.pool.PoolDecisions;
import org.cowslippick.scheduler.pool.PoolScheduler;
import org.cowslippick.scheduler.pool.PoolSnapshot;

/** Runs the schedulers of the pools that this entry owns, each by one thread at a time. */
public final class PoolHost implements AutoCloseable {

    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(5);

    private final TimerService timer;
    private final Executor executor;
    private final PoolFactory factory;
    private final DecisionListener listener;
    private final Map<PoolKey, Lane> lanes = new ConcurrentHashMap<>();
    private final TimerService.Subscription advancing;
    private volatile ImmutableListMultimap<PoolKey, Endpoint> endpoints = ImmutableListMultimap.of();

    /** Creates a host without pools; a pool comes to exist with the first step in it. */
    public PoolHost(TimerService timer, Executor executor, PoolFactory factory, DecisionListener listener) {
        this.timer = timer;
        this.executor = executor;
        this.factory = factory;
        this.listener = listener;
        this.advancing = timer.every(ADVANCE_PERIOD, this::advance);
    }

    /** Runs one step in the pool and passes its decisions on. */
    public void step(PoolKey pool, BiFunction<PoolScheduler, Long, PoolDecisions> step) {
        lanes.computeIfAbsent(pool, this::open).step(step);
    }

    /** Replaces the usable endpoints of all pools. */
    public void replaceEndpoints(ImmutableListMultimap<PoolKey, Endpoint> replacement) {
        endpoints = replacement;
        lanes.forEach(
                (pool, lane) -> lane.step((scheduler, now) -> scheduler.replaceEndpoints(replacement.get(pool), now)));
    }

    /** Forgets a pool that another entry owns now. */
    public void close(PoolKey pool) {
        lanes.remove(pool);
    }

    /** The pools that exist here. */
    public ImmutableList<PoolKey> pools() {
        return lanes.keySet().stream().sorted().collect(ImmutableList.toImmutableList());
    }

    /** Hands a snapshot of every pool to the consumer, later and from the pool's thread. */
    public void snapshots(BiConsumer<PoolKey, PoolSnapshot> consumer) {
        lanes.forEach((pool, lane) -> lane.step((scheduler, now) -> {
            consumer.accept(pool, scheduler.snapshot(now));
            return PoolDecisions.NONE;
        }));
    }

    @Override
    public void close() {
        advancing.cancel();
        lanes.clear();
    }

    private void advance() {
        lanes.values().forEach(lane -> lane.step(PoolScheduler::advance));
    }

    private Lane open(PoolKey pool) {
        Lane lane = new Lane(pool, factory.create(pool), MoreExecutors.newSequentialExecutor(executor));
        lane.step((scheduler, now) -> scheduler.replaceEndpoints(endpoints.get(pool), now));
        return lane;
    }

    private final class Lane {
        private final PoolKey pool;
        private final PoolScheduler scheduler;
        private final Executor sequential;

        Lane(PoolKey pool, PoolScheduler scheduler, Executor sequential) {
            this.pool = pool;
            this.scheduler = scheduler;
            this.sequential = sequential;
        }

        void step(BiFunction<PoolScheduler, Long, PoolDecisions> step) {
            sequential.execute(() -> {
                PoolDecisions decisions = step.apply(scheduler, timer.nanoTime());
                decisions.refusals().forEach(refusal -> listener.refused(pool, refusal));
                decisions.grants().forEach(grant -> listener.granted(pool, grant));
            });
        }
    }
}
