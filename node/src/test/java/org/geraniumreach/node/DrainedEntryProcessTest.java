package org.geraniumreach.node;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Stops the process of an entry before sound targets, whose callers go on until it is gone. */
class DrainedEntryProcessTest {

    private static final Duration GRACE = Duration.ofSeconds(8);
    private static final Duration CALM = Duration.ofSeconds(9);
    private static final Duration LATE_RUNS = Duration.ofSeconds(7);
    private static final List<String> PATHS = List.of("/book/x", "/look/x", "/chat/flow/x", "/chat/x");
    private static final List<String> SINGLE_RUN_PATHS = List.of("/book/x", "/chat/flow/x");
    private static final int LONG_TIMEOUT_MILLIS = 20_000;
    private static final Duration LATE = Duration.ofSeconds(3);
    private static final int LONG_WORK_PERCENT = 3;
    private static final int SHORT_WORK_PERCENT = 70;
    private static final int SHORT_WORK_MILLIS = 100;
    private static final int SLOW_WORK_MILLIS = 500;
    private static final int LONGEST_WORK_MILLIS = 6_000;
    private static final int TARGETS = 3;
    private static final int CALLERS = 60;
    private static final int EVENTS = 10;
    private static final int REFUSED = 503;
    private static final int SERVED = 200;
    private static final int CUT = 0;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    /** How a request ended; status 0 if its answer was cut off. */
    private record Outcome(String id, String path, long workMillis, long sentAt, int status) {

        private boolean isUnknown() {
            return status != SERVED && status != REFUSED;
        }
    }

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    /** Works for as long as the request tells, and answers with events if it generates. */
    private void answer(ScriptedTarget.Call call) throws IOException, InterruptedException {
        ran.add(call.id());
        long workMillis = Long.parseLong(call.headers().get("X-Work-Millis"));
        String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + call.id() + "\r\nX-Server-Seal: x\r\n";
        if (!call.headers().containsKey("X-Model")) {
            Thread.sleep(workMillis);
            call.write(head + "Content-Length: 2\r\n\r\nok");
            return;
        }
        call.write(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = 1; number <= EVENTS; number++) {
            Thread.sleep(workMillis / EVENTS);
            String event = "id: " + number + "\ndata: x\n\n";
            call.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        call.write("0\r\n\r\n");
    }

    private static String configuration(int timeoutMillis) {
        SilenceConfiguration configuration = new SilenceConfiguration();
        configuration.setTimeout(timeoutMillis);
        configuration.addService("engines");
        configuration.addService("plain");
        configuration.addRoute("book", "/book/", "plain");
        configuration.addRoute("look", "/look/", "plain");
        configuration.addRoute("flow", "/chat/flow/", "engines");
        configuration.addRoute("chat", "/chat/", "engines");
        return configuration.text(2);
    }

    /** Guards against requests that a stopping entry takes although they may outlast it, and that it cuts off when it exits. */
    @ParameterizedTest
    @CsvSource({"20000, 6000", "3000, 600"})
    void aRequestIsAnsweredWholeOrRefusedWithoutARun(int timeoutMillis, int longestWorkMillis) throws Exception {
        long stoppedAt = stopBesideCallers(timeoutMillis, random -> 1 + random.nextInt(longestWorkMillis));
        verify(stoppedAt);
        assertThat(outcomes)
                .as("requests that were neither answered whole nor refused")
                .filteredOn(Outcome::isUnknown)
                .isEmpty();
    }

    /** Guards against a request that may not be repeated and is cut off by a stop, since it takes longer than most of its route. */
    @Test
    void noneOfTheSlowestRequestsThatMayNotBeRepeatedIsCutOff() throws Exception {
        long stoppedAt = stopBesideCallers(LONG_TIMEOUT_MILLIS, DrainedEntryProcessTest::mostlyShortWork);
        verify(stoppedAt);
        assertThat(outcomes)
                .as("requests that may not be repeated and have an unknown outcome")
                .filteredOn(ended -> ended.isUnknown() && SINGLE_RUN_PATHS.contains(ended.path()))
                .isEmpty();
    }

    /** Guards against late requests that are taken since nearly all of their route are short, and are cut off at the exit. */
    @Test
    void noneThatComesWhenCallersReachOtherEntriesIsCutOff() throws Exception {
        long stoppedAt = stopBesideCallers(LONG_TIMEOUT_MILLIS, DrainedEntryProcessTest::rarelyLongWork);
        verify(stoppedAt);
        assertThat(outcomes)
                .as("late requests with an unknown outcome")
                .filteredOn(ended -> ended.isUnknown() && ended.sentAt() - stoppedAt > LATE.toNanos())
                .isEmpty();
    }

    private static long rarelyLongWork(Random random) {
        return random.nextInt(100) < LONG_WORK_PERCENT ? LONGEST_WORK_MILLIS : SHORT_WORK_MILLIS;
    }

    private static long mostlyShortWork(Random random) {
        return random.nextInt(100) < SHORT_WORK_PERCENT
                ? SHORT_WORK_MILLIS
                : SLOW_WORK_MILLIS + random.nextInt(LONGEST_WORK_MILLIS - SLOW_WORK_MILLIS);
    }

    /** Returns when the entry was stopped. */
    private long stopBesideCallers(int timeoutMillis, ToLongFunction<Random> work) throws Exception {
        List<ScriptedTarget> targets = new ArrayList<>();
        long stoppedAt;
        try (FakePlatform platform = new FakePlatform()) {
            platform.configure(configuration(timeoutMillis));
            for (int number = 0; number < TARGETS; number++) {
                for (String service : List.of("engines", "plain")) {
                    ScriptedTarget target = new ScriptedTarget(this::answer);
                    targets.add(target);
                    platform.addTarget(service + "-" + number, service).reachThrough(target.address());
                }
            }
            try (EntryProcesses entries =
                    new EntryProcesses(platform, 1, directory, EntryProcesses.AMPLE_RETRIES, GRACE)) {
                entries.awaitReady();
                EntryProcesses.Entry entry = entries.entries().get(0);
                List<Future<?>> callers = new ArrayList<>();
                for (int number = 0; number < CALLERS; number++) {
                    int caller = number;
                    callers.add(executor.submit(() -> callUntilGone(entry, caller, timeoutMillis, work)));
                }
                Thread.sleep(CALM.toMillis());
                stoppedAt = System.nanoTime();
                entry.signal("TERM");
                entry.awaitExit();
                for (Future<?> caller : callers) {
                    caller.get();
                }
            }
            Thread.sleep(LATE_RUNS.toMillis());
        } finally {
            for (ScriptedTarget target : targets) {
                target.close();
            }
        }
        return stoppedAt;
    }

    private Void callUntilGone(EntryProcesses.Entry entry, int caller, int timeoutMillis, ToLongFunction<Random> work)
            throws InterruptedException {
        Random random = new Random(caller);
        String path = PATHS.get(caller % PATHS.size());
        for (int number = 0; entry.isAlive(); number++) {
            String id = "caller-" + caller + "-" + number;
            long workMillis = work.applyAsLong(random);
            HttpRequest request = CallerRequests.post(
                            entry.address(), path, id, Duration.ofMillis(timeoutMillis), "hi", "base/a1")
                    .header("X-Work-Millis", Long.toString(workMillis))
                    .build();
            long sentAt = System.nanoTime();
            int status = CallerRequests.status(client, request);
            if (status != CUT || ran.contains(id)) {
                outcomes.add(new Outcome(id, path, workMillis, sentAt, status));
            }
            Thread.sleep(random.nextInt(100));
        }
        return null;
    }

    private void verify(long stoppedAt) {
        List<Outcome> before =
                outcomes.stream().filter(ended -> ended.sentAt() < stoppedAt).toList();
        List<Outcome> after =
                outcomes.stream().filter(ended -> ended.sentAt() >= stoppedAt).toList();
        Map<Integer, Long> statuses =
                after.stream().collect(Collectors.groupingBy(Outcome::status, Collectors.counting()));
        Map<String, Outcome> first = new HashMap<>();
        after.forEach(ended -> first.putIfAbsent(ended.id().replaceAll("-\\d+$", ""), ended));
        long refusedFirst = first.values().stream()
                .filter(ended -> ended.status() == REFUSED)
                .count();
        long needless = first.values().stream()
                .filter(ended -> ended.status() == REFUSED)
                .filter(ended -> ended.sentAt() - stoppedAt + ended.workMillis() * NANOS_PER_MILLI < GRACE.toNanos())
                .count();
        System.out.printf(
                "sent before the signal: %d, after it: %d, by status %s; of the first ones of %d callers %d refused,"
                        + " %d of them though the work fits into the grace%n",
                before.size(), after.size(), statuses, first.size(), refusedFirst, needless);
        assertThat(outcomes)
                .as("requests that were refused and ran")
                .filteredOn(ended -> ended.status() == REFUSED && ran.contains(ended.id()))
                .isEmpty();
        assertThat(before).extracting(Outcome::status).contains(SERVED);
        assertThat(after).isNotEmpty();
    }
}
