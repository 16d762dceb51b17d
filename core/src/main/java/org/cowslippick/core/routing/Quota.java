package org.cowslippick.core.routing;

/**
 * A rate with a burst, in the unit of the quota.
 *
 * @param unit what is counted
 * @param ratePerSecond 0 means no limit
 * @param tokensWithoutCount what a request counts that does not state its tokens
 */
public record Quota(Unit unit, double ratePerSecond, double burst, long tokensWithoutCount) {

    public static final Quota UNLIMITED = new Quota(Unit.REQUESTS, 0, 0, 0);

    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    /** What a request uses, given the prompt and answer tokens that it states; -1 if it states none. */
    public long cost(long statedTokens) {
        return unit.cost(statedTokens, tokensWithoutCount);
    }

    /** What a quota counts. */
    public enum Unit {
        REQUESTS {
            @Override
            long cost(long _statedTokens, long _tokensWithoutCount) {
                return 1;
            }
        },
        TOKENS {
            @Override
            long cost(long statedTokens, long tokensWithoutCount) {
                return statedTokens >= 0 ? statedTokens : tokensWithoutCount;
            }
        };

        abstract long cost(long statedTokens, long tokensWithoutCount);
    }
}
