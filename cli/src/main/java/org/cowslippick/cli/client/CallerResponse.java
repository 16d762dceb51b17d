package org.cowslippick.cli.client;

import com.fasterxml.jackson.databind.JsonNode;

/** The complete answer to a request, with the receipt that lists its targets and the measured times. */
public record CallerResponse(JsonNode answer, JsonNode receipt) {}
