package org.cowslippick.core.settings;

/**
 * A value with the section that sets it.
 *
 * @param origin the section that sets the value, or {@link SectionName#DEFAULTS} for a built-in default
 * @param builtIn whether the value is a built-in default that no section sets
 */
public record ResolvedSetting(SettingKey key, String value, SectionName origin, boolean builtIn) {}
