package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;

/** One section of an INI text, with the line of its header. */
public record IniSection(String header, int line, ImmutableList<IniEntry> entries) {}
