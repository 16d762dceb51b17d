package org.cowslippick.scheduler.retry;

/**
 * Limits retries and hedges to a share of first attempts, as Finagle's retry budget does. Each first attempt deposits
 * the share, and each further attempt withdraws 1. The balance is capped so that an idle period does not accumulate a
 * burst: over any period, further attempts are at most the share of the first attempts plus the cap.
 */
public final class RatioBudget {

    private final double share;
    private final double maximumBalance;
    private double balance;

    /** Creates a budget with a full balance. */
    public RatioBudget(double share, double maximumBalance) {
        this.share = share;
        this.maximumBalance = maximumBalance;
        this.balance = maximumBalance;
    }

    /** Records a first attempt. */
    public void deposit() {
        balance = Math.min(maximumBalance, balance + share);
    }

    /** Withdraws one further attempt; returns false if the budget is exhausted. */
    public boolean tryWithdraw() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
