package org.cowslippick.core.routing;

/**
 * A rate limit with a burst allowance.
 *
 * @param unit the unit of the rate and the burst
 * @param ratePerSecond 0 means no limit
 * @param defaultTokenCount the cost of a request that does not state its token count
 */
public record Quota(Unit unit, double ratePerSecond, double burst, long defaultTokenCount) {

    public static final Quota UNLIMITED = new Quota(Unit.REQUESTS, 0, 0, 0);

    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    /** Returns the cost of a request, given its stated prompt and answer tokens, or -1 if it states none. */
    public long cost(long statedTokens) {
        return unit.cost(statedTokens, defaultTokenCount);
    }

    public enum Unit {
        REQUESTS {
            @Override
            long cost(long _statedTokens, long _defaultTokenCount) {
                return 1;
            }
        },
        TOKENS {
            @Override
            long cost(long statedTokens, long defaultTokenCount) {
                return statedTokens >= 0 ? statedTokens : defaultTokenCount;
            }
        };

        abstract long cost(long statedTokens, long defaultTokenCount);
    }
}
