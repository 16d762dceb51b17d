package org.cowslippick.core.settings;

/** One key and value of an INI text, with the line on which it stands. */
public record IniEntry(String key, String value, int line) {}
