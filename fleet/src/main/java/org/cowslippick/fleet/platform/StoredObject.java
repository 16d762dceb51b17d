package org.cowslippick.fleet.platform;

/**
 * An object stored in the platform.
 *
 * @param version the version of its last change; versions grow with every change of any object
 */
public record StoredObject(ObjectKey key, long version, String value) {}
