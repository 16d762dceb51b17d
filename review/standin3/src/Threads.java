/** Starts daemon threads, which end with the process. */
final class Threads {
    private Threads() {}

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException _stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
