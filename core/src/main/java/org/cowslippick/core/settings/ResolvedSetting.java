package org.cowslippick.core.settings;

/**
 * A value with the section that it came from.
 *
 * @param origin the section that sets the value, or {@link SectionName#DEFAULTS} for a built-in default
 * @param builtIn whether no section sets it
 */
public record ResolvedSetting(SettingKey key, String value, SectionName origin, boolean builtIn) {}
