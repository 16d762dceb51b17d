package org.cowslippick.core.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The least severe level that a process logs. */
public enum LogLevel {
    ERROR,
    WARNING,
    INFO,
    DEBUG;

    /** The level as it is written in settings, such as {@code info}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds the level with this text. */
    public static Optional<LogLevel> parse(String text) {
        return Arrays.stream(values())
                .filter(level -> level.text().equals(text))
                .findFirst();
    }
}
