package org.cowslippick.fleet.limit;

import com.google.common.collect.ImmutableList;
import org.cowslippick.scheduler.limit.DemandReport;
import org.cowslippick.scheduler.limit.LimitShare;

/** One entry's shares of the limits. */
public interface LocalLimits {

    /** The current demand at this entry, for each scope in use. */
    ImmutableList<DemandReport> demand();

    /** Applies a newly allocated share of one scope. */
    void apply(LimitShare share);
}
