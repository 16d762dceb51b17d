package org.cowslippick.entry.log;

import com.google.common.base.Throwables;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats each record as one line: time, level, logger name, and the message with its fields. */
final class LogLineFormatter extends Formatter {

    @Override
    public String format(LogRecord logRecord) {
        String thrown = logRecord.getThrown() == null
                ? ""
                : " cause=" + oneLine(Throwables.getStackTraceAsString(logRecord.getThrown()));
        return logRecord.getInstant() + " " + logRecord.getLevel().getName() + " " + logRecord.getLoggerName() + " "
                + oneLine(formatMessage(logRecord)) + thrown + "\n";
    }

    private static String oneLine(String text) {
        return text.replace("\r", "").replace("\n", " | ").strip();
    }
}
