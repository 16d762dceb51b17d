package org.cowslippick.scheduler.rollout;

/** Responses of one version on one route. */
public record VersionCounts(long responses, long failures, long slow) {

    public static final VersionCounts NONE = new VersionCounts(0, 0, 0);

    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(responses + other.responses, failures + other.failures, slow + other.slow);
    }

    public VersionCounts minus(VersionCounts other) {
        return new VersionCounts(responses - other.responses, failures - other.failures, slow - other.slow);
    }

    /** Responses that were failures or slow. */
    public long bad() {
        return failures + slow;
    }

    /** The share of bad responses; 0 without a response. */
    public double badShare() {
        return responses == 0 ? 0 : (double) bad() / responses;
    }
}
