package org.cowslippick.cli.client;

import com.fasterxml.jackson.databind.JsonNode;

/** A whole answer with the receipt that shows what was promised and kept. */
public record CallerAnswer(JsonNode answer, JsonNode receipt) {}
