package org.cowslippick.fleet.platform;

import com.google.common.collect.ImmutableList;

/**
 * Objects of one kind.
 *
 * @param version the platform's version at which the list was read; a watch can start there
 */
public record ObjectList(long version, ImmutableList<StoredObject> objects) {}
