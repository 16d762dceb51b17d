package org.cowslippick.relay.rollout;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The object of an order.
 *
 * @param revision of the object's last change, on which writes of its status are conditional
 */
public record RolloutObject(String name, long revision, JsonNode spec, JsonNode status) {}
