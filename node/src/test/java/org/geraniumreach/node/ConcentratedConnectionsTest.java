package org.geraniumreach.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Sends most new connections of a fleet to one entry, each with one request, while callers open more of them. */
class ConcentratedConnectionsTest {

    private static final int ENTRIES = 3;
    private static final int TARGETS = 6;
    private static final int USUAL_RATE = 60;
    private static final int CONCENTRATED_RATE = 300;
    private static final Duration PHASE = Duration.ofSeconds(6);
    private static final Duration START_TIME = Duration.ofSeconds(9);
    private static final int CALLER_TIMEOUT_MILLIS = 4_000;
    private static final double SHARE_TO_KEEP = 0.75;
    private static final long MAXIMUM_DESCRIPTORS = 4_100;
    private static final long MAXIMUM_MEMORY_KILOBYTES = 430 * 1_024;

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final FakePlatform platform;

    @TempDir
    private Path directory;

    ConcentratedConnectionsTest() throws Exception {
        platform = new FakePlatform();
    }

    @AfterEach
    void close() {
        platform.close();
        executor.shutdownNow();
    }

    /** What became of the requests of one phase. */
    private record Result(int sent, int read, int served) {

        double servedShare() {
            return (double) served / Math.max(1, read);
        }
    }

    private Result send(int perSecond, IntFunction<InetSocketAddress> entry) throws InterruptedException {
        AtomicInteger read = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        int total = (int) (perSecond * PHASE.toSeconds());
        long start = System.nanoTime();
        for (int number = 0; number < total; number++) {
            long due = start + Duration.ofSeconds(1).toNanos() * number / perSecond;
            TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
            InetSocketAddress address = entry.apply(number);
            int id = number;
            executor.execute(() -> {
                int status = call(address, perSecond + "-" + id);
                read.addAndGet(status > 0 ? 1 : 0);
                served.addAndGet(status == 200 ? 1 : 0);
            });
        }
        Thread.sleep(CALLER_TIMEOUT_MILLIS);
        return new Result(total, read.get(), served.get());
    }

    /** Returns the status of a complete answer, 500 for one that breaks off, 0 if the connection was closed without one. */
    private static int call(InetSocketAddress entry, String id) {
        int status = 0;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.getPort())) {
            socket.setSoTimeout(CALLER_TIMEOUT_MILLIS);
            String head = "POST /chat/x HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nContent-Length: 2\r\n"
                    + "X-Attempt-Id: surge-" + id + "\r\nX-Deadline-Ms: " + CALLER_TIMEOUT_MILLIS + "\r\n"
                    + "Authorization: Bearer " + FakePlatform.KEY + "\r\n"
                    + "X-Model: base/a1\r\nX-Token-Count: 100,5\r\n\r\nhi";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            status = answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : 0;
            return status == 200 && !answer.endsWith("0\r\n\r\n") ? 500 : status;
        } catch (IOException broken) {
            return status;
        }
    }

    private static long descriptors(EntryProcesses.Entry entry) throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(entry.processId()), "fd"))) {
            return open.count();
        }
    }

    /** Guards against an entry that takes more connections than it can serve, or exhausts its memory or descriptors. */
    @Test
    void anEntryThatGetsMostConnectionsServesWhatItReads() throws Exception {
        for (int number = 0; number < TARGETS; number++) {
            platform.addTarget("target-" + number, "engines")
                    .generate(new FakePlatform.Generation(20, 50, OptionalInt.empty()));
        }
        try (EntryProcesses entries = new EntryProcesses(platform, ENTRIES, directory)) {
            Thread.sleep(START_TIME.toMillis());
            entries.awaitReady();
            Result usual = send(
                    USUAL_RATE,
                    number -> entries.entries().get(number % ENTRIES).address());
            EntryProcesses.Entry busy = entries.entries().get(0);
            Result concentrated = send(CONCENTRATED_RATE, number -> busy.address());
            System.out.printf(
                    "usual %s, concentrated %s, %d descriptors, %d KB at most%n",
                    usual, concentrated, descriptors(busy), busy.peakMemoryKilobytes());
            assertThat(usual.servedShare()).isGreaterThan(0.9);
            assertThat(concentrated.servedShare()).isGreaterThan(SHARE_TO_KEEP * usual.servedShare());
            assertThat(descriptors(busy)).isLessThan(MAXIMUM_DESCRIPTORS);
            assertThat(busy.peakMemoryKilobytes()).isLessThan(MAXIMUM_MEMORY_KILOBYTES);
        }
    }
}
