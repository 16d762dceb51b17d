package org.cowslippick.scheduler.limit;

import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.world.InstanceName;

/** The demand that an entry observed in one scope. */
public record DemandReport(InstanceName entry, SectionName scope, Demand demand) {}
