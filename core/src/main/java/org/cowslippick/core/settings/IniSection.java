package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;

/** A section of an INI text, with the line number of its header. */
public record IniSection(String header, int line, ImmutableList<IniEntry> entries) {}
