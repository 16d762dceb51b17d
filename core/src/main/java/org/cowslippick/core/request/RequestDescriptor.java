package org.cowslippick.core.request;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.Tier;

/**
 * The part of a request that the owner of a pool needs for scheduling. The body stays at the entry that holds the
 * caller's connection.
 *
 * @param entry the entry that holds the caller's connection
 * @param arrivalNanos the arrival time on the monotonic clock of the process that holds this object
 * @param firstTokenTargetNanos the first-token target, relative to arrival
 * @param deadlineNanos the deadline of the complete answer, relative to arrival
 * @param promptTokens estimated prompt length
 * @param answerTokens the maximum answer length that the caller allows
 * @param prefixHashes chained hashes of the prompt's blocks from its start, each covering all blocks up to its own
 * @param contentFingerprint hash of the complete content, by which content that crashed endpoints is put in quarantine
 */
public record RequestDescriptor(
        RequestId id,
        InstanceName entry,
        Region callerRegion,
        OrganisationName organisation,
        ServiceName service,
        Tier tier,
        DispatchRule dispatchRule,
        long arrivalNanos,
        long firstTokenTargetNanos,
        long deadlineNanos,
        int promptTokens,
        int answerTokens,
        boolean crossRegion,
        ImmutableList<Long> prefixHashes,
        long contentFingerprint) {

    public RequestDescriptor {
        if (promptTokens < 0 || answerTokens < 0) {
            throw new IllegalArgumentException(
                    "token counts of request " + id + " must not be negative: " + promptTokens + ", " + answerTokens);
        }
    }

    /** Returns the absolute deadline, on the clock of {@link #arrivalNanos()}. */
    public long deadlineAtNanos() {
        return arrivalNanos + deadlineNanos;
    }

    /** Returns the absolute time of the first-token target, on the clock of {@link #arrivalNanos()}. */
    public long firstTokenDueAtNanos() {
        return arrivalNanos + firstTokenTargetNanos;
    }

    public int totalTokens() {
        return promptTokens + answerTokens;
    }
}
