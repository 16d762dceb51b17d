package org.cowslippick.scheduler.limit;

/**
 * A token bucket that may go into debt: a take needs a balance above the reserve but may take more than the balance, so
 * that one item larger than the bucket passes and is paid for by the wait after it. Over any time it lets through at
 * most the rate times the time, the burst, and one item.
 */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private double ratePerSecond;
    private double burst;
    private double balance;
    private long filledAtNanos;

    /** Creates a full bucket. */
    public TokenBucket(double ratePerSecond, double burst, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.balance = burst;
        this.filledAtNanos = nowNanos;
    }

    /** Changes rate and burst; what is in the bucket stays, up to the new burst. */
    public void resize(double newRatePerSecond, double newBurst, long nowNanos) {
        fill(nowNanos);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        balance = Math.min(balance, burst);
    }

    public double burst() {
        return burst;
    }

    /** Whether a take would succeed. */
    public boolean has(double reserve, long nowNanos) {
        fill(nowNanos);
        return balance > reserve;
    }

    /** Takes the amount if the balance is above the reserve. */
    public boolean tryTake(double amount, double reserve, long nowNanos) {
        if (!has(reserve, nowNanos)) {
            return false;
        }
        balance -= amount;
        return true;
    }

    /** Gives back an amount that was not used; a negative one takes whatever the balance is. */
    public void add(double amount) {
        balance = Math.min(burst, balance + amount);
    }

    /** When a take will succeed again, if nothing else is taken before. */
    public long nanosUntilAbove(double reserve, long nowNanos) {
        fill(nowNanos);
        double missing = Math.max(0, reserve - balance);
        return ratePerSecond > 0 ? 1 + (long) (missing / ratePerSecond * NANOS_PER_SECOND) : Long.MAX_VALUE;
    }

    private void fill(long nowNanos) {
        double added = (nowNanos - filledAtNanos) / NANOS_PER_SECOND * ratePerSecond;
        balance = Math.min(burst, balance + added);
        filledAtNanos = nowNanos;
    }
}
