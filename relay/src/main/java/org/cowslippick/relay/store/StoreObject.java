package org.cowslippick.relay.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of the store.
 *
 * @param revision store revision of the object's last change
 * @param status what the system wrote about the object; missing for most kinds
 */
public record StoreObject(String name, long revision, JsonNode spec, JsonNode status) {}
