package org.cowslippick.scheduler.limit;

/**
 * A token bucket whose balance may become negative. A withdrawal requires a balance above the reserve but may exceed
 * the balance, so that an item larger than the bucket passes and delays the items after it. Over any interval the
 * bucket admits at most the rate times the interval, the burst, and one item.
 */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private double ratePerSecond;
    private double burst;
    private double balance;
    private long refilledAtNanos;

    /** Creates a full bucket. */
    public TokenBucket(double ratePerSecond, double burst, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.balance = burst;
        this.refilledAtNanos = nowNanos;
    }

    /** Changes rate and burst; the balance is kept, up to the new burst. */
    public void resize(double newRatePerSecond, double newBurst, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        balance = Math.min(balance, burst);
    }

    public double burst() {
        return burst;
    }

    /** Whether {@link #tryTake} would succeed. */
    public boolean isAbove(double reserve, long nowNanos) {
        refill(nowNanos);
        return balance > reserve;
    }

    /** Takes the amount if the balance is above the reserve. */
    public boolean tryTake(double amount, double reserve, long nowNanos) {
        if (!isAbove(reserve, nowNanos)) {
            return false;
        }
        balance -= amount;
        return true;
    }

    /** Credits an unused amount, up to the burst; a negative amount is withdrawn regardless of the balance. */
    public void add(double amount) {
        balance = Math.min(burst, balance + amount);
    }

    /** The time until {@link #tryTake} succeeds, if nothing else is taken before. */
    public long nanosUntilAbove(double reserve, long nowNanos) {
        refill(nowNanos);
        double missing = Math.max(0, reserve - balance);
        return ratePerSecond > 0 ? 1 + (long) (missing / ratePerSecond * NANOS_PER_SECOND) : Long.MAX_VALUE;
    }

    private void refill(long nowNanos) {
        double added = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * ratePerSecond;
        balance = Math.min(burst, balance + added);
        refilledAtNanos = nowNanos;
    }
}
