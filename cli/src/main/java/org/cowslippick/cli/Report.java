package org.cowslippick.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** The output of a command, as text for people and as JSON for programs. */
public record Report(String text, JsonNode json) {}
