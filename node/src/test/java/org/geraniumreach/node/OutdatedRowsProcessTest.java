package org.geraniumreach.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Holds the process of an entry up again and again while a target leaves and requests come. */
class OutdatedRowsProcessTest {

    private static final int ROUNDS = 3;
    private static final int PAUSES = 5;
    private static final int MINIMUM_PAUSE_MILLIS = 300;
    private static final int PAUSE_SPREAD_MILLIS = 600;
    private static final int RUN_MILLIS = 40;
    private static final int HEARTBEAT_MILLIS = 60;
    private static final int REQUEST_INTERVAL_MILLIS = 40;
    private static final long DRAIN_NANOS = Duration.ofSeconds(2).toNanos();

    private final ScheduledExecutorService background = Executors.newScheduledThreadPool(4);

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    private FakePlatform platform;
    private EntryProcesses entries;
    private EntryProcesses.Entry entry;

    @BeforeEach
    void start() throws Exception {
        platform = new FakePlatform();
        FakePlatform.FakeTarget staying = platform.addTarget("staying", "plain");
        entries = new EntryProcesses(platform, 1, directory);
        entry = entries.entries().get(0);
        entries.awaitReady();
        background.scheduleAtFixedRate(staying::writeHeartbeat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        background.scheduleAtFixedRate(this::send, 0, REQUEST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        background.shutdownNow();
        entries.close();
        platform.close();
    }

    /** Sends a request on a connection of its own and leaves its answer to be read by nobody. */
    private void send() {
        try {
            Socket caller =
                    new Socket(entry.address().getAddress(), entry.address().getPort());
            String request = "POST /look/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\nX-Attempt-Id: "
                    + System.nanoTime() + "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer " + FakePlatform.KEY
                    + "\r\n\r\nhi";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            background.schedule(() -> close(caller), 4, TimeUnit.SECONDS);
        } catch (IOException unreachable) {
            // The queue of new connections is full while the process stands still.
            Thread.onSpinWait();
        }
    }

    private static void close(Socket caller) {
        try {
            caller.close();
        } catch (IOException closed) {
            throw new IllegalStateException(closed);
        }
    }

    /** Guards against a process that, whenever it runs, begins with the requests that have come and reads the rows last. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void noRequestReachesATargetThatDrainsLaterThanItsDrainTime(long seed) throws Exception {
        Random random = new Random(seed);
        int late = 0;
        for (int round = 0; round < ROUNDS; round++) {
            FakePlatform.FakeTarget leaving = platform.addTarget("leaving-" + round, "plain");
            TimeUnit.MILLISECONDS.sleep(3_000 + random.nextInt(800));
            assertThat(leaving.arrivals()).isNotEmpty();
            leaving.drain();
            long acknowledged = System.nanoTime();
            for (int pause = 0; pause < PAUSES; pause++) {
                entry.signal("STOP");
                TimeUnit.MILLISECONDS.sleep(MINIMUM_PAUSE_MILLIS + random.nextInt(PAUSE_SPREAD_MILLIS));
                entry.signal("CONT");
                TimeUnit.MILLISECONDS.sleep(RUN_MILLIS);
            }
            TimeUnit.MILLISECONDS.sleep(1_000);
            late += (int) leaving.arrivals().stream()
                    .filter(arrival -> arrival.isRequest() && arrival.nanos() - acknowledged > DRAIN_NANOS)
                    .count();
        }
        assertThat(late).isZero();
    }
}
