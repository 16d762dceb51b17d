package org.cowslippick.scheduler.pool;

import java.util.Locale;

/** How a pool decides. */
public enum SchedulingPolicy {
    /** One queue by tier, organisation and deadline; an endpoint is chosen when it has a free slot. */
    TIERED {
        @Override
        public PoolScheduler create(long seed, PoolSettings settings) {
            return new TieredPool(seed, settings);
        }
    },
    /** The baseline: on arrival, the less loaded of two endpoints. */
    LEAST_REQUEST {
        @Override
        public PoolScheduler create(long seed, PoolSettings _settings) {
            return new LeastRequestPool(seed);
        }
    };

    /** Makes a pool without endpoints whose random draws follow from the seed. */
    public abstract PoolScheduler create(long seed, PoolSettings settings);

    /** The word used for this policy in settings and on the command line, such as {@code least-request}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
