package org.cowslippick.core.settings;

/** One key with its value. */
public record Setting(SettingKey key, String value) {}
