package org.cowslippick.fleet.limit;

import com.google.common.collect.ImmutableList;
import org.cowslippick.scheduler.limit.DemandReport;
import org.cowslippick.scheduler.limit.LimitShare;

/** One entry's part of all limits. */
public interface LimitParts {

    /** The demand at this entry in every scope in use. */
    ImmutableList<DemandReport> demand();

    /** Takes a newly allocated share of one scope. */
    void apply(LimitShare share);
}
