package org.cowslippick.core.world;

import java.util.regex.Pattern;

/** Validates the names of operator-defined objects. */
final class Names {

    private static final int MAXIMUM_LENGTH_CHARACTERS = 100;
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Names() {}

    static void check(String kind, String value) {
        if (value.length() > MAXIMUM_LENGTH_CHARACTERS) {
            throw new IllegalArgumentException(
                    kind + " name is longer than " + MAXIMUM_LENGTH_CHARACTERS + " characters: " + value.length());
        }
        if (!ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(kind + " name \"" + value
                    + "\" must start with a letter or digit and contain only letters, digits, '.', '_' and '-'");
        }
    }
}
