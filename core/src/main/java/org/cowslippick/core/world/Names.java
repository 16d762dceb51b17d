package org.cowslippick.core.world;

/**
 * Validates the names of operator-defined objects. Any text but an empty one is a name: which characters can be written
 * depends on the notation, and the one of the settings is checked by {@link org.cowslippick.core.settings.SettingType#NAME}.
 */
final class Names {

    private Names() {}

    static void check(String kind, String value) {
        if (value.isEmpty()) {
            throw new IllegalArgumentException(kind + " name is empty");
        }
    }
}
