package org.cowslippick.entry.record;

import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;

/** The key under which requests are counted. */
public record RecordKey(OrganisationName organisation, ServiceName service, TierName tier) {}
