package org.cowslippick.scheduler.prefix;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A part of a prompt that other prompts may contain too.
 *
 * @param id a hash of the part's name; equal for the same part on all instances
 */
public record PromptPart(long id, int tokens) {

    /** Further parts of a prompt are treated as not shared, which bounds the cost of a decision. */
    public static final int MAXIMUM_PARTS = 16;

    public PromptPart {
        checkArgument(tokens >= 0, "a part of a prompt has %s tokens", tokens);
    }
}
