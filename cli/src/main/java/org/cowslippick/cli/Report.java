package org.cowslippick.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** What a command prints: text for people, JSON for programs. */
public record Report(String text, JsonNode json) {}
