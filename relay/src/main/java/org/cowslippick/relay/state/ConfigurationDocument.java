package org.cowslippick.relay.state;

/**
 * A configuration in its original form, for transfer to instances that cannot read the store.
 *
 * @param text in the format of the store from which it was read
 */
public record ConfigurationDocument(long version, String text) {}
