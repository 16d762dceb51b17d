package org.cowslippick.entry.log;

import java.util.Arrays;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.cowslippick.core.settings.LogLevel;

/** Configures logging to standard error, one record per line. */
public final class LogSetup {

    private static final String HTTP_LIBRARY_LOGGER = "ratpack";

    // LogManager holds loggers weakly; without this reference the level would be lost when the logger is collected.
    private static Logger httpLibraryLogger;

    private LogSetup() {}

    /** Replaces the handlers of the root logger and sets its level. */
    public static void install(LogLevel level) {
        Logger root = LogManager.getLogManager().getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new LogLineFormatter());
        handler.setLevel(Level.ALL);
        root.addHandler(handler);
        root.setLevel(level(level));
        suppressLibraryInfo();
    }

    /** Suppresses the messages in which the HTTP library reports its own starts and stops. */
    public static void suppressLibraryInfo() {
        httpLibraryLogger = Logger.getLogger(HTTP_LIBRARY_LOGGER);
        httpLibraryLogger.setLevel(Level.WARNING);
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
