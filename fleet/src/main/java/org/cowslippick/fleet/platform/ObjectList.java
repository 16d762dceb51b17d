package org.cowslippick.fleet.platform;

import com.google.common.collect.ImmutableList;

/**
 * Objects of one kind.
 *
 * @param version the platform's version at which the list was read, after which a watch can start
 */
public record ObjectList(long version, ImmutableList<StoredObject> objects) {}
