package org.cowslippick.relay.limit;

import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.forwarding.RetryBudget;
import org.cowslippick.scheduler.retry.RatioBudget;

/** This instance's share of the retry budget of each service. */
public final class SharedRetryBudget implements RetryBudget {

    /** The rest covers the difference between the limit's window and a running balance. */
    private static final double USABLE_SHARE = 0.7;

    private static final int MINIMUM_INSTANCES = 4;

    private final double ratio;
    private final int extraRetries;
    private final Map<ServiceName, RatioBudget> budgets = new HashMap<>();

    /** Starts with full budgets of {@code ratio} retries per request, plus a share of {@code extraRetries}. */
    public SharedRetryBudget(double ratio, int extraRetries) {
        this.ratio = ratio;
        this.extraRetries = extraRetries;
    }

    @Override
    public void recordRequest(ServiceName service) {
        budget(service).deposit();
    }

    @Override
    public boolean tryAcquireRetry(ServiceName service) {
        return budget(service).tryWithdraw();
    }

    private RatioBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(
                service,
                _service -> new RatioBudget(
                        ratio * USABLE_SHARE, Math.max(1, USABLE_SHARE * extraRetries / (2 * MINIMUM_INSTANCES))));
    }
}
