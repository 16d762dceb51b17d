package org.cowslippick.cli.client;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;

/** Which entries to use for a service, best first, until when, and the ticket for the keys sent to them. */
record Addresses(ImmutableList<HostAndPort> entries, String ticket, long keptUntilNanos) {}
