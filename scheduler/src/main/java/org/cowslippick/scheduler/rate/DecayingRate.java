package org.cowslippick.scheduler.rate;

/** Estimates a rate as a sum of amounts whose weights decay exponentially with a time constant. */
public final class DecayingRate {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double timeConstantNanos;
    private double perSecond;
    private long updatedAtNanos;

    /** Creates an estimate of 0. */
    public DecayingRate(long timeConstantNanos, long nowNanos) {
        this.timeConstantNanos = (double) timeConstantNanos;
        this.updatedAtNanos = nowNanos;
    }

    public void add(double amount, long nowNanos) {
        perSecond = perSecond(nowNanos) + amount * NANOS_PER_SECOND / timeConstantNanos;
        updatedAtNanos = nowNanos;
    }

    public double perSecond(long nowNanos) {
        return perSecond * Math.exp((updatedAtNanos - nowNanos) / timeConstantNanos);
    }
}
