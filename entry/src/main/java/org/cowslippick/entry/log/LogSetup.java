package org.cowslippick.entry.log;

import java.util.Arrays;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.cowslippick.core.settings.LogLevel;

/** Sends the log of this process to standard error, one event a line. */
public final class LogSetup {

    private static final String LIBRARIES = "ratpack";

    private static Logger libraries;

    private LogSetup() {}

    /** Replaces the handlers of the root logger. */
    public static void install(LogLevel level) {
        Logger root = LogManager.getLogManager().getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new LogFormat());
        handler.setLevel(Level.ALL);
        root.addHandler(handler);
        root.setLevel(level(level));
        quietLibraries();
    }

    /** Keeps the HTTP library's own notes of starts and stops out of the log. */
    public static void quietLibraries() {
        libraries = Logger.getLogger(LIBRARIES);
        libraries.setLevel(Level.WARNING);
    }

    private static Level level(LogLevel level) {
        return switch (level) {
            case ERROR -> Level.SEVERE;
            case WARNING -> Level.WARNING;
            case INFO -> Level.INFO;
            case DEBUG -> Level.FINE;
        };
    }
}
