import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the time of each line. Safe for use by several threads. */
final class Record implements AutoCloseable {

    private final PrintWriter writer;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String format, Object... arguments) {
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        writer.println(String.format(Locale.ROOT, "%8.3f  ", seconds) + String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public void close() {
        writer.close();
    }
}
