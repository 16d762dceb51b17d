package org.cowslippick.scheduler.pool;

import java.util.Locale;

/** The scheduling policies of a pool. */
public enum SchedulingPolicy {
    /** A central queue by tier, organisation and deadline; an endpoint is chosen when it has a free slot. */
    TIERED {
        @Override
        public PoolScheduler create(long seed, PoolSettings settings) {
            return new TieredPool(seed, settings);
        }
    },
    /** The baseline: dispatches on arrival to the less loaded of two random endpoints. */
    LEAST_REQUEST {
        @Override
        public PoolScheduler create(long seed, PoolSettings _settings) {
            return new LeastRequestPool(seed);
        }
    };

    /** Creates a pool without endpoints whose random draws are determined by the seed. */
    public abstract PoolScheduler create(long seed, PoolSettings settings);

    /** The name of this policy in settings and on the command line, such as {@code least-request}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
