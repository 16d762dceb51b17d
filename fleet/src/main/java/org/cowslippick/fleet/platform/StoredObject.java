package org.cowslippick.fleet.platform;

/**
 * An object as the platform holds it.
 *
 * @param version grows with every change of any object
 */
public record StoredObject(ObjectKey key, long version, String value) {}
