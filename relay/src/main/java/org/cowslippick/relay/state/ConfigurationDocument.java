package org.cowslippick.relay.state;

/**
 * A configuration as its operator wrote it, for passing on to instances that cannot read it themselves.
 *
 * @param text in the format of the store that it came from
 */
public record ConfigurationDocument(long version, String text) {}
