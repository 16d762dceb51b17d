/** Daemon threads and sleeps without checked exceptions. */
final class Threads {

    private static final long STACK_BYTES = 256 << 10;

    private Threads() {}

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(Math.max(0, milliseconds));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
