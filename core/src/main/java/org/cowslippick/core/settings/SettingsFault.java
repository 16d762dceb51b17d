package org.cowslippick.core.settings;

/**
 * A validation error in settings.
 *
 * @param line the line number, or 0 if the fault is not at a single line
 */
public record SettingsFault(String section, String key, int line, String problem) {

    @Override
    public String toString() {
        String location = line > 0 ? "line " + line + ": " : "";
        String setting = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
        return location + setting + ": " + problem;
    }
}
