package org.cowslippick.core.request;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.Tier;

/**
 * What the owner of a pool has to know of a request; its body stays with the entry that holds the caller.
 *
 * @param entry the entry that holds the caller
 * @param arrivalNanos when the request arrived, on the clock of the process that holds this object
 * @param firstTokenTargetNanos how long after arrival the first token is promised
 * @param deadlineNanos how long after arrival the answer is still useful
 * @param promptTokens estimated prompt length
 * @param answerTokens the largest answer that the caller allows
 * @param prefixHashes hashes of the prompt's blocks from its start on, each covering all blocks before it
 * @param contentFingerprint hash of the whole content, for quarantine
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

    /** The latest useful instant, on the clock of {@link #arrivalNanos()}. */
    public long deadlineAtNanos() {
        return arrivalNanos + deadlineNanos;
    }

    /** When the first token is due, on the clock of {@link #arrivalNanos()}. */
    public long firstTokenDueAtNanos() {
        return arrivalNanos + firstTokenTargetNanos;
    }

    public int totalTokens() {
        return promptTokens + answerTokens;
    }
}
