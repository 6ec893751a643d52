package org.geraniumreach.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Entries that are held up, signalled and restarted in series while impatient callers leave and patient ones wait for the route's timeout.
 *
 * <p>A longer run: {@code -Dtest=LateRequestSoakTest -DargLine="-Dsoak.first=100 -Dsoak.seeds=50 -Dsoak.seconds=20"}; with
 * {@code -Dsoak.entries=20} as many processes.
 */
class LateRequestSoakTest {

    private static final int FIRST_SEED = Integer.getInteger("soak.first", 1);
    private static final int SEEDS = Integer.getInteger("soak.seeds", 2);
    private static final Duration LENGTH = Duration.ofSeconds(Integer.getInteger("soak.seconds", 8));
    private static final int ENTRIES = Integer.getInteger("soak.entries", 1);
    private static final int TARGETS = 3;
    private static final int CALLERS_PER_ENTRY = 30;
    private static final int BURST_CALLERS = 100;
    private static final int SHORT_DEADLINE_MILLIS = 450;
    private static final int LONG_DEADLINE_MILLIS = 8_000;
    private static final int ROUTE_TIMEOUT_MILLIS = 1_500;
    private static final long ALLOWED_NANOS = Duration.ofMillis(500).toNanos();
    private static final int RUN_MILLIS = 20;
    private static final int FEW = 8;

    private final Map<String, Long> lastArrivals = new ConcurrentHashMap<>();
    private final Map<String, Long> departures = new ConcurrentHashMap<>();
    private final Queue<Wait> waits = new ConcurrentLinkedQueue<>();
    private final NavigableSet<Long> continuations = new ConcurrentSkipListSet<>();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private volatile long silentUntil = System.nanoTime();
    private volatile boolean running = true;

    @TempDir
    private Path directory;

    /** How long a request stayed unanswered, and whether its entry was held up or started in the last moments of that. */
    private record Wait(long nanos, boolean disturbed) {

        private boolean hasReachedTimeout() {
            return !disturbed && nanos > Duration.ofMillis(ROUTE_TIMEOUT_MILLIS).toNanos();
        }

        private boolean isHeldOn() {
            return hasReachedTimeout()
                    && nanos > Duration.ofMillis(ROUTE_TIMEOUT_MILLIS).toNanos() + ALLOWED_NANOS;
        }
    }

    static IntStream seeds() {
        return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    private void answer(ScriptedTarget.Call call) throws IOException, InterruptedException {
        lastArrivals.put(call.id(), System.nanoTime());
        Thread.sleep(RUN_MILLIS
                + Math.max(0, Duration.ofNanos(silentUntil - System.nanoTime()).toMillis()));
        call.write(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + call.id() + "\r\nX-Server-Seal: s\r\nContent-Length: 1\r\n\r\nx");
    }

    /** One caller, which keeps its connection until a request on it is not answered. */
    private final class Caller {
        private final EntryProcesses.Entry entry;
        private final String name;
        private final int deadlineMillis;
        private Socket socket = new Socket();

        private Caller(EntryProcesses.Entry entry, String name, int deadlineMillis) {
            this.entry = entry;
            this.name = name;
            this.deadlineMillis = deadlineMillis;
        }

        private void callUntil(long end) {
            for (int number = 0; running && System.nanoTime() < end; number++) {
                call(name + '-' + number);
            }
            close();
        }

        private void call(String id) {
            long sentAt = System.nanoTime();
            try {
                if (!socket.isConnected() || socket.isClosed()) {
                    socket = new Socket();
                    InetSocketAddress address = entry.address();
                    socket.connect(address, deadlineMillis);
                }
                sentAt = System.nanoTime();
                socket.getOutputStream().write(request(id).getBytes(StandardCharsets.US_ASCII));
                socket.setSoTimeout(deadlineMillis);
                InputStream in = socket.getInputStream();
                HttpMessages.readLine(in);
                HttpMessages.readBody(in, HttpMessages.readHeaders(in));
                record(sentAt);
                Thread.sleep(RUN_MILLIS);
            } catch (SocketTimeoutException unanswered) {
                record(sentAt);
                close();
                departures.put(id, System.nanoTime());
            } catch (IOException broken) {
                close();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }

        private void record(long sentAt) {
            long now = System.nanoTime();
            if (deadlineMillis == LONG_DEADLINE_MILLIS) {
                waits.add(new Wait(now - sentAt, now - entry.disturbedAt() < ALLOWED_NANOS));
            }
        }

        private String request(String id) {
            return "POST /look/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + FakePlatform.KEY
                    + "\r\n\r\nhi";
        }

        private void close() {
            try {
                socket.close();
            } catch (IOException closed) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private List<Future<?>> startCallers(EntryProcesses.Entry entry, String prefix, int count, long end) {
        List<Future<?>> started = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            int deadline = number % 3 == 0 ? LONG_DEADLINE_MILLIS : SHORT_DEADLINE_MILLIS;
            Caller caller = new Caller(entry, prefix + '-' + number, deadline);
            started.add(executor.submit(() -> caller.callUntil(end)));
        }
        return started;
    }

    private void disturb(EntryProcesses entries, Random random, long end) throws Exception {
        for (int number = 0; System.nanoTime() < end; number++) {
            EntryProcesses.Entry entry = entries.entries().get(random.nextInt(ENTRIES));
            switch (random.nextInt(6)) {
                case 0 -> fallSilent(500 + random.nextInt(2_500));
                case 1 -> startCallers(entry, "burst-" + number, BURST_CALLERS, System.nanoTime() + ALLOWED_NANOS);
                case 2 -> entry.signal("HUP");
                case 3 -> restart(entry, random);
                default -> holdUp(entry, 200 + random.nextInt(1_800));
            }
            Thread.sleep(random.nextInt(1_000));
        }
    }

    private void fallSilent(int millis) {
        silentUntil = System.nanoTime() + Duration.ofMillis(millis).toNanos();
    }

    private void holdUp(EntryProcesses.Entry entry, int millis) throws Exception {
        entry.signal("STOP");
        Thread.sleep(millis);
        continuations.add(System.nanoTime());
        entry.signal("CONT");
    }

    private static void restart(EntryProcesses.Entry entry, Random random) throws Exception {
        if (random.nextBoolean()) {
            entry.signal("TERM");
            entry.awaitExit();
        } else {
            entry.kill();
        }
        entry.start();
        entry.awaitReady();
        entry.disturb();
    }

    /** Guards against requests that are sent on after their callers have left, and held on after their route's timeout. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noRequestIsSentOnOrHeldOnLate(int seed) throws Exception {
        Random random = new Random(seed);
        List<ScriptedTarget> targets = new ArrayList<>();
        SilenceConfiguration configuration = new SilenceConfiguration();
        configuration.setTimeout(ROUTE_TIMEOUT_MILLIS);
        configuration.addService("plain");
        configuration.addRoute("look", "/look/", "plain");
        try (FakePlatform platform = new FakePlatform()) {
            for (int number = 0; number < TARGETS; number++) {
                targets.add(new ScriptedTarget(this::answer));
                platform.addTarget("plain-" + number, "plain")
                        .reachThrough(targets.get(number).address());
            }
            platform.configure(configuration.text(2));
            try (EntryProcesses entries = new EntryProcesses(platform, ENTRIES, directory)) {
                entries.awaitReady();
                long end = System.nanoTime() + LENGTH.toNanos();
                List<Future<?>> callers = new ArrayList<>();
                for (EntryProcesses.Entry entry : entries.entries()) {
                    callers.addAll(startCallers(entry, "steady-" + callers.size(), CALLERS_PER_ENTRY, end));
                }
                disturb(entries, random, end);
                for (Future<?> caller : callers) {
                    caller.get();
                }
            }
        } finally {
            running = false;
            executor.shutdownNow();
            for (ScriptedTarget target : targets) {
                target.close();
            }
        }
        verify(seed);
    }

    private void verify(int seed) {
        List<String> sentOn = departures.keySet().stream()
                .filter(id -> lastArrivals.containsKey(id) && lastArrivals.get(id) - departures.get(id) > ALLOWED_NANOS)
                .toList();
        long reached = waits.stream().filter(Wait::hasReachedTimeout).count();
        long heldOn = waits.stream().filter(Wait::isHeldOn).count();
        System.out.printf(
                "seed %d: %d requests at targets, %d callers left, %d sent on over 0.5 s later; %d reached the timeout, %d held on%n",
                seed, lastArrivals.size(), departures.size(), sentOn.size(), reached, heldOn);
        assertThat(departures).isNotEmpty();
        assertThat(sentOn).allMatch(id -> continuations.floor(lastArrivals.get(id)) != null);
        // A process may be stopped between the query for the caller and the write that follows, which one thread does
        // for one request.
        assertThat(sentOn.stream().map(id -> continuations.floor(lastArrivals.get(id))))
                .doesNotHaveDuplicates();
        assertThat(reached >= FEW && 2 * heldOn > reached)
                .as("%d of %d requests that reached the timeout were held on", heldOn, reached)
                .isFalse();
    }
}
