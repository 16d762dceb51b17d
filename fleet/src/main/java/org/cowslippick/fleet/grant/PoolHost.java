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

/** Runs the schedulers of the pools that this entry owns, each on a sequential executor. */
public final class PoolHost implements AutoCloseable {

    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(5);

    private final TimerService timer;
    private final Executor executor;
    private final PoolFactory factory;
    private final DecisionListener listener;
    private final Map<PoolKey, HostedPool> hostedPools = new ConcurrentHashMap<>();
    private final TimerService.Subscription periodicAdvance;
    private volatile ImmutableListMultimap<PoolKey, Endpoint> endpoints = ImmutableListMultimap.of();

    /** Creates a host without pools; the first step in a pool creates it. */
    public PoolHost(TimerService timer, Executor executor, PoolFactory factory, DecisionListener listener) {
        this.timer = timer;
        this.executor = executor;
        this.factory = factory;
        this.listener = listener;
        this.periodicAdvance = timer.scheduleWithFixedDelay(ADVANCE_PERIOD, this::advance);
    }

    /** Runs one step on the pool's executor and passes its decisions to the listener. */
    public void step(PoolKey pool, BiFunction<PoolScheduler, Long, PoolDecisions> step) {
        hostedPools.computeIfAbsent(pool, this::open).step(step);
    }

    /** Replaces the usable endpoints of all pools. */
    public void replaceEndpoints(ImmutableListMultimap<PoolKey, Endpoint> replacement) {
        endpoints = replacement;
        hostedPools.forEach((pool, hosted) ->
                hosted.step((scheduler, now) -> scheduler.replaceEndpoints(replacement.get(pool), now)));
    }

    /** Removes a pool that another entry owns now. */
    public void close(PoolKey pool) {
        hostedPools.remove(pool);
    }

    /** Returns the pools that exist here. */
    public ImmutableList<PoolKey> pools() {
        return hostedPools.keySet().stream().sorted().collect(ImmutableList.toImmutableList());
    }

    /** Passes a snapshot of every pool to the consumer, asynchronously on the pool's executor. */
    public void snapshots(BiConsumer<PoolKey, PoolSnapshot> consumer) {
        hostedPools.forEach((pool, hosted) -> hosted.step((scheduler, now) -> {
            consumer.accept(pool, scheduler.snapshot(now));
            return PoolDecisions.NONE;
        }));
    }

    @Override
    public void close() {
        periodicAdvance.cancel();
        hostedPools.clear();
    }

    private void advance() {
        hostedPools.values().forEach(hosted -> hosted.step(PoolScheduler::advance));
    }

    private HostedPool open(PoolKey pool) {
        HostedPool hosted = new HostedPool(pool, factory.create(pool), MoreExecutors.newSequentialExecutor(executor));
        hosted.step((scheduler, now) -> scheduler.replaceEndpoints(endpoints.get(pool), now));
        return hosted;
    }

    private final class HostedPool {
        private final PoolKey pool;
        private final PoolScheduler scheduler;
        private final Executor sequentialExecutor;

        HostedPool(PoolKey pool, PoolScheduler scheduler, Executor sequentialExecutor) {
            this.pool = pool;
            this.scheduler = scheduler;
            this.sequentialExecutor = sequentialExecutor;
        }

        void step(BiFunction<PoolScheduler, Long, PoolDecisions> step) {
            sequentialExecutor.execute(() -> {
                PoolDecisions decisions = step.apply(scheduler, timer.nanoTime());
                decisions.refusals().forEach(refusal -> listener.refused(pool, refusal));
                decisions.grants().forEach(grant -> listener.granted(pool, grant));
            });
        }
    }
}
