package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the milliseconds since the start. */
final class Record {

    private final PrintWriter output;
    private final long startNanos = System.nanoTime();

    Record(Path folder) throws IOException {
        output = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String format, Object... values) {
        output.printf("%7d  %s%n", nowMs(), String.format(format, values));
        output.flush();
    }

    /** Adds the line and prints it. */
    synchronized void say(String format, Object... values) {
        add(format, values);
        System.out.printf("%7d  %s%n", nowMs(), String.format(format, values));
    }
}
