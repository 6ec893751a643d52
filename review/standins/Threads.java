import java.io.IOException;

/** Starts daemon threads; a connection that breaks ends its thread silently. */
final class Threads {

    private Threads() {}

    /** Work that may fail because a connection broke. */
    interface Work {

        void run() throws IOException, InterruptedException;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException | InterruptedException ended) {
                        // The other side has closed or reset the connection.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
