import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What all cases share: the record, the temporary folder, the processes, and the exit code. */
abstract class Case {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final List<Front> fronts = new ArrayList<>();
    private final PrintWriter record;
    private final long startedNanos = System.nanoTime();

    Case(String recordFile) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Plays the case; returns whether the rule was broken. */
    abstract boolean play() throws Exception;

    static void main(Case played) {
        int code = NOT_RUN;
        try {
            code = played.play() ? BROKEN : HELD;
            played.note(code == BROKEN ? "the rule was BROKEN" : "the rule held");
        } catch (Exception failure) {
            played.note("the case could not run: " + failure);
            failure.printStackTrace();
        } finally {
            played.end();
        }
        System.exit(code);
    }

    synchronized void note(String line) {
        record.printf("%8.3f %s%n", seconds(), line);
    }

    double seconds() {
        return (System.nanoTime() - startedNanos) / 1e9;
    }

    Front startFront(String name, String zone, Store store) throws IOException {
        Front front = new Front(name, zone, store, folder, Front.smallBounds());
        fronts.add(front);
        front.start();
        return front;
    }

    void requireReady(Front front) {
        if (!front.awaitReady(20_000)) {
            throw new IllegalStateException(front.name() + " did not become ready");
        }
        note(front.name() + " is ready");
    }

    private void endProcesses() {
        fronts.stream().filter(Front::isAlive).forEach(front -> front.process().destroyForcibly());
    }

    private void end() {
        try {
            for (Front front : fronts) {
                front.kill();
            }
            if (System.getenv("KEEP_LOGS") == null) {
                deleteFolder();
            } else {
                note("logs are kept in the temporary folder");
                System.err.println(folder);
            }
        } catch (IOException | InterruptedException failure) {
            note("clean-up failed: " + failure);
        }
        record.close();
    }

    private void deleteFolder() throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
