package org.cowslippick.relay.log;

import com.google.common.base.Throwables;
import java.io.PrintStream;
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
 * Writes the log as JSON lines from a thread of its own. Whoever logs never waits: lines that find the buffer full are
 * dropped, and the next line that is written says how many.
 */
public final class JsonLogHandler extends Handler {

    private static final int MAXIMUM_WAITING_LINES = 2_000;
    private static final Level LIBRARIES = Level.WARNING;
    private static final String OWN_LOGGERS = "cowslippick";

    private static Logger own;

    private final String instance;
    private final PrintStream output;
    private final BlockingQueue<LogRecord> waiting = new ArrayBlockingQueue<>(MAXIMUM_WAITING_LINES);
    private final AtomicLong dropped = new AtomicLong();

    private JsonLogHandler(String instance, PrintStream output) {
        this.instance = instance;
        this.output = output;
    }

    /** Replaces the handlers of the root logger; libraries are heard from warnings on. */
    public static void install(String instance, PrintStream output) {
        JsonLogHandler handler = new JsonLogHandler(instance, output);
        Logger root = LogManager.getLogManager().getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        root.addHandler(handler);
        root.setLevel(LIBRARIES);
        own = Logger.getLogger(OWN_LOGGERS);
        own.setLevel(Level.INFO);
        Thread writer = new Thread(handler::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord event) {
        if (!waiting.offer(event)) {
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

    private void write() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                output.print(line(waiting.take()));
            }
        } catch (InterruptedException _stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private String line(LogRecord event) {
        StringBuilder line = new StringBuilder("{\"at\":\"")
                .append(event.getInstant())
                .append("\",\"level\":\"")
                .append(event.getLevel().getName())
                .append("\",\"part\":\"")
                .append(event.getLoggerName())
                .append("\",\"instance\":\"")
                .append(instance)
                .append("\",");
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            line.append("\"linesDropped\":").append(lost).append(',');
        }
        String message = event.getMessage();
        line.append(
                message != null && message.startsWith("\"event\":")
                        ? message
                        : LogLine.of("message").with("text", String.valueOf(message)));
        if (event.getThrown() != null) {
            line.append(",\"cause\":{")
                    .append(LogLine.of("failure").with("trace", Throwables.getStackTraceAsString(event.getThrown())))
                    .append('}');
        }
        return line.append("}\n").toString();
    }
}
