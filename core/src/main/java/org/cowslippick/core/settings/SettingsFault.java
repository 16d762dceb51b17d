package org.cowslippick.core.settings;

/**
 * One thing that is wrong with settings.
 *
 * @param line the line in the text, or 0 where the fault is not at one line
 */
public record SettingsFault(String section, String key, int line, String problem) {

    @Override
    public String toString() {
        String place = line > 0 ? "line " + line + ": " : "";
        String setting = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
        return place + setting + ": " + problem;
    }
}
