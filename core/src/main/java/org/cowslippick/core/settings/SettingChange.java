package org.cowslippick.core.settings;

import java.util.Optional;

/**
 * The change of one setting between two documents.
 *
 * @param key the key, or empty if the section itself was added or removed
 */
public record SettingChange(
        SectionName section, Optional<SettingKey> key, Optional<String> before, Optional<String> after) {

    @Override
    public String toString() {
        return "[" + section + "]" + key.map(present -> " " + present.text()).orElse("") + ": "
                + before.orElse("(absent)") + " -> " + after.orElse("(absent)");
    }
}
