package org.cowslippick.relay.log;

import com.google.common.base.Throwables;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log records as JSON lines from a dedicated thread. Logging never blocks: records are dropped while the buffer
 * is full, and the next line that is written states how many.
 */
public final class JsonLogHandler extends Handler {

    private static final int MAXIMUM_BUFFERED_RECORDS = 2_000;
    private static final int MAXIMUM_WRITE_WAITS = 20;
    private static final Duration WRITE_WAIT = Duration.ofMillis(20);
    private static final Level LIBRARY_LEVEL = Level.WARNING;
    private static final String OWN_LOGGER_NAME = "cowslippick";

    /** Strongly referenced, as the log manager may otherwise discard the logger with its level. */
    private static Logger ownLogger;

    private static JsonLogHandler installed;

    private final String instance;
    private final PrintStream output;
    private final BlockingQueue<LogRecord> buffer = new ArrayBlockingQueue<>(MAXIMUM_BUFFERED_RECORDS);
    private final AtomicLong dropped = new AtomicLong();

    private JsonLogHandler(String instance, PrintStream output) {
        this.instance = instance;
        this.output = output;
    }

    /** Replaces the handlers of the root logger; libraries log from level WARNING on. */
    public static void install(String instance, PrintStream output) {
        JsonLogHandler handler = new JsonLogHandler(instance, output);
        installed = handler;
        Logger root = LogManager.getLogManager().getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        root.addHandler(handler);
        root.setLevel(LIBRARY_LEVEL);
        ownLogger = Logger.getLogger(OWN_LOGGER_NAME);
        ownLogger.setLevel(Level.INFO);
        Thread writer = new Thread(handler::writeRecords, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Gives the writer time to write the records that are buffered; for the end of a process. */
    public static void awaitWritten() {
        int waits = 0;
        do {
            Uninterruptibles.sleepUninterruptibly(WRITE_WAIT);
            waits++;
        } while (waits < MAXIMUM_WRITE_WAITS && installed != null && !installed.buffer.isEmpty());
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (!buffer.offer(logRecord)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        output.flush();
    }

    @Override
    public void close() {
        flush();
    }

    private void writeRecords() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                output.print(format(buffer.take()));
            }
        } catch (InterruptedException _stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private String format(LogRecord logRecord) {
        StringBuilder line = new StringBuilder("{\"at\":\"")
                .append(logRecord.getInstant())
                .append("\",\"level\":\"")
                .append(logRecord.getLevel().getName())
                .append("\",\"part\":\"")
                .append(logRecord.getLoggerName())
                .append("\",\"instance\":\"")
                .append(instance)
                .append("\",");
        long droppedCount = dropped.getAndSet(0);
        if (droppedCount > 0) {
            line.append("\"linesDropped\":").append(droppedCount).append(',');
        }
        String message = logRecord.getMessage();
        line.append(
                message != null && message.startsWith("\"event\":")
                        ? message
                        : LogLine.of("message").with("text", String.valueOf(message)));
        if (logRecord.getThrown() != null) {
            line.append(",\"cause\":{")
                    .append(LogLine.of("failure")
                            .with("trace", Throwables.getStackTraceAsString(logRecord.getThrown())))
                    .append('}');
        }
        return line.append("}\n").toString();
    }
}
