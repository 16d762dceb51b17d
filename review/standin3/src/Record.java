import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what is sent, answered and run, with the time since the start of the case. */
final class Record {
    private static PrintWriter out;
    private static final long START = System.nanoTime();

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void line(String format, Object... arguments) {
        String line = String.format("%9.3f s  ", now()) + String.format(format, arguments);
        if (out != null) {
            out.println(line);
            out.flush();
        }
    }

    static void say(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(format, arguments));
    }
}
