import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a record, a line for each event with the seconds since the start. */
final class Recorder implements AutoCloseable {

    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void write(String event) {
        out.println(String.format(Locale.ROOT, "%8.3f ", (System.nanoTime() - startedAt) / 1e9) + event);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
