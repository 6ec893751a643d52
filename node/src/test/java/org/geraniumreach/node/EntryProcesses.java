package org.geraniumreach.node;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.model.testing.FreeAddresses;

/** Entries as processes before one {@link FakePlatform}. Safe for use by several threads. */
final class EntryProcesses implements AutoCloseable {

    private static final long EXIT_TIMEOUT_SECONDS = 20;
    private static final long START_TIMEOUT_SECONDS = 60;
    private static final long READINESS_POLL_MILLIS = 100;

    static final ProcessSettings.RepeatLimits AMPLE_RETRIES =
            new ProcessSettings.RepeatLimits(1, 1_000, Duration.ofSeconds(10));

    private static final Duration DEFAULT_GRACE = Duration.ofSeconds(2);

    private final List<Entry> entries = new ArrayList<>();
    private final Path directory;

    /** One entry, whose process may be replaced. */
    final class Entry {
        private final int number;
        private final InetSocketAddress callers = FreeAddresses.next();
        private final InetSocketAddress readiness = FreeAddresses.next();
        private final Path settings;
        private volatile Process process;
        private volatile long disturbedAt;

        private Entry(int number, FakePlatform platform, ProcessSettings.RepeatLimits retries, Duration grace)
                throws IOException {
            this.number = number;
            this.settings = directory.resolve("entry-" + number + ".json");
            Files.writeString(
                    settings,
                    String.format(
                            Locale.ROOT,
                            "{\"node\":\"entry-%d\",\"zone\":\"loopback\",\"ip\":\"127.0.0.1\","
                                    + "\"listen\":{\"front\":\"127.0.0.1:%d\",\"readiness\":\"127.0.0.1:%d\"},"
                                    + "\"internal_ports\":[%d,0],\"platform\":{\"address\":\"127.0.0.1:%d\"},"
                                    + "\"bounds\":{\"grace_s\":%d,\"retry_budget\":%s,\"budget_extra\":%s,\"budget_window_s\":%d,"
                                    + "\"quota_window_s\":1}}",
                            number,
                            callers.getPort(),
                            readiness.getPort(),
                            FreeAddresses.next().getPort(),
                            platform.address().getPort(),
                            grace.toSeconds(),
                            retries.ratio(),
                            retries.extra(),
                            retries.window().toSeconds()));
            start();
        }

        void start() throws IOException {
            String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
            ProcessBuilder builder = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx96m",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            classPath,
                            Main.class.getName(),
                            "entry",
                            "--settings",
                            settings.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            // SIGHUP reads the settings that the environment names.
            builder.environment().put("GERANIUMREACH_NODE_FILE", settings.toString());
            process = builder.start();
            disturb();
        }

        void kill() throws InterruptedException {
            disturb();
            process.destroyForcibly().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        /** Waits until the entry tells that it is ready. */
        void awaitReady() throws IOException, InterruptedException {
            long end = System.nanoTime()
                    + Duration.ofSeconds(START_TIMEOUT_SECONDS).toNanos();
            while (!isReady()) {
                if (System.nanoTime() > end) {
                    throw new IOException("entry " + number + " does not get ready");
                }
                Thread.sleep(READINESS_POLL_MILLIS);
            }
        }

        private boolean isReady() {
            try {
                URL url = new URL("http", readiness.getAddress().getHostAddress(), readiness.getPort(), "/-/readyz");
                return ((HttpURLConnection) url.openConnection()).getResponseCode() == HttpURLConnection.HTTP_OK;
            } catch (IOException notListening) {
                return false;
            }
        }

        /** Sends a signal, such as TERM, HUP, STOP or CONT. */
        void signal(String name) throws IOException, InterruptedException {
            disturb();
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            disturb();
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void awaitExit() throws InterruptedException {
            process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        InetSocketAddress address() {
            return callers;
        }

        /** Gets the file that the log of all processes of this entry is appended to. */
        Path log() {
            return directory.resolve("entry-" + number + ".log");
        }

        long processId() {
            return process.pid();
        }

        /** Gets the most memory that the process has used, in kilobytes. */
        long peakMemoryKilobytes() throws IOException {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElseThrow();
        }

        void disturb() {
            disturbedAt = System.nanoTime();
        }

        /** Returns the time of the last disturbance. */
        long disturbedAt() {
            return disturbedAt;
        }
    }

    EntryProcesses(FakePlatform platform, int count, Path directory) throws IOException {
        this(platform, count, directory, AMPLE_RETRIES);
    }

    EntryProcesses(FakePlatform platform, int count, Path directory, ProcessSettings.RepeatLimits retries)
            throws IOException {
        this(platform, count, directory, retries, DEFAULT_GRACE);
    }

    EntryProcesses(
            FakePlatform platform, int count, Path directory, ProcessSettings.RepeatLimits retries, Duration grace)
            throws IOException {
        this.directory = directory;
        for (int number = 0; number < count; number++) {
            entries.add(new Entry(number, platform, retries, grace));
        }
    }

    /** Waits until all entries are ready. */
    void awaitReady() throws IOException, InterruptedException {
        for (Entry entry : entries) {
            entry.awaitReady();
        }
    }

    List<Entry> entries() {
        return entries;
    }

    @Override
    public void close() throws Exception {
        for (Entry entry : entries) {
            entry.kill();
        }
    }
}
