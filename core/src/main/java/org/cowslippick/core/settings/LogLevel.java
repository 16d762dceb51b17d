package org.cowslippick.core.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The minimum severity of logged messages. */
public enum LogLevel {
    ERROR,
    WARNING,
    INFO,
    DEBUG;

    /** Returns the level as written in settings, such as {@code info}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Parses the text of a level; empty if it is unknown. */
    public static Optional<LogLevel> parse(String text) {
        return Arrays.stream(values())
                .filter(level -> level.text().equals(text))
                .findFirst();
    }
}
