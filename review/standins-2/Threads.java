/** Starts threads that end with the program. */
final class Threads {

    private Threads() {}

    /** A task that may fail when its connection ends. */
    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception ended) {
                        // The connection or the program has ended.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
