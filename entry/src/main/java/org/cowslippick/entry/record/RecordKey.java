package org.cowslippick.entry.record;

import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;

/** What a record counts by. */
public record RecordKey(OrganisationName organisation, ServiceName service, TierName tier) {}
