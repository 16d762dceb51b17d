package org.cowslippick.cli.client;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;

/** The entries to use for a service, best first, with the ticket for keys sent to them and the time of expiry. */
record EntryAddresses(ImmutableList<HostAndPort> entries, String ticket, long expiresAtNanos) {}
