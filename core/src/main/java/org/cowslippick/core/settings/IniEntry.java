package org.cowslippick.core.settings;

/** A key and value of an INI text, with their line number. */
public record IniEntry(String key, String value, int line) {}
