package org.cowslippick.core.settings;

/** A key of the settings tree with a value. */
public record Setting(SettingKey key, String value) {}
