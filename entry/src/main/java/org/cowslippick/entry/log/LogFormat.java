package org.cowslippick.entry.log;

import com.google.common.base.Throwables;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** One event a line: time, level, the part as a prefix, and the message with its fields. */
final class LogFormat extends Formatter {

    @Override
    public String format(LogRecord event) {
        String thrown = event.getThrown() == null
                ? ""
                : " cause=" + oneLine(Throwables.getStackTraceAsString(event.getThrown()));
        return event.getInstant() + " " + event.getLevel().getName() + " " + event.getLoggerName() + " "
                + oneLine(formatMessage(event)) + thrown + "\n";
    }

    private static String oneLine(String text) {
        return text.replace("\r", "").replace("\n", " | ").strip();
    }
}
