package org.cowslippick.scheduler.retry;

/**
 * Bounds further attempts to a share of first attempts, as Finagle's retry budget does. Each first attempt deposits the
 * share; each further attempt withdraws one. The balance is capped, so a quiet time saves up no burst: over any period
 * further attempts are at most the share of the first ones plus the cap.
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

    /** Counts a first attempt. */
    public void deposit() {
        balance = Math.min(maximumBalance, balance + share);
    }

    /** Takes one further attempt out of the budget, if it has one left. */
    public boolean tryWithdraw() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
