package org.geraniumreach.node;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs an entry as a process before targets that repeat their rejections late on the connections of these. */
class KeptConnectionProcessTest {

    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration LATE_RUNS = Duration.ofMillis(500);
    private static final int REQUESTS = 20;
    private static final int MAXIMUM_ARRIVALS = 5;
    private static final int RESTARTS = 12;

    /** They allow the retries of the rejected ones. */
    private static final int OTHER_REQUESTS_PER_RESTART = 4;

    private static final long RUN_MILLIS = 50;
    private static final long SLOW_REJECTION_MILLIS = 700;
    private static final String FIRST = "first-";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger rejected = new AtomicInteger();
    private final AtomicInteger copied = new AtomicInteger();
    private final AtomicInteger writtenAgain = new AtomicInteger();

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    private void run(ScriptedTarget.Call call, String name) throws IOException, InterruptedException {
        runs.merge(call.id(), 1, Integer::sum);
        Thread.sleep(RUN_MILLIS);
        call.write(call.wholeAnswer(name));
    }

    /** Rejects each request when it comes first, and repeats that if the request comes on the same connection again. */
    private ScriptedTarget.Script rejectingOnce(String name) {
        Map<String, Integer> rejectedOn = new ConcurrentHashMap<>();
        return call -> {
            String rejection = "HTTP/1.1 503 Busy\r\n" + call.identityHeaders(name)
                    + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            int connection = call.id().startsWith(FIRST) ? 0 : rejectedOn.getOrDefault(call.id(), -1);
            if (connection < 0) {
                rejected.incrementAndGet();
                rejectedOn.put(call.id(), call.connection());
                call.write(rejection);
                return;
            }
            if (connection == call.connection()) {
                copied.incrementAndGet();
                call.write(rejection);
            }
            run(call, name);
        };
    }

    /** Keeps a request for a while and rejects it, so that a connection that has carried its first rejection is idle again. */
    private ScriptedTarget.Script rejectingSlowly(String name) {
        return call -> {
            if (call.id().startsWith(FIRST)) {
                run(call, name);
                return;
            }
            rejected.incrementAndGet();
            Thread.sleep(SLOW_REJECTION_MILLIS);
            call.write("HTTP/1.1 503 Busy\r\n" + call.identityHeaders(name)
                    + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        };
    }

    /** A target whose process starts again at its address under another name; the row follows when its former name is asked for. */
    private final class RestartingTarget implements AutoCloseable {
        private final FakePlatform platform;
        private final String service;
        private final ScriptedTarget process = new ScriptedTarget(this::answer);
        private final Map<String, Integer> rejectedOn = new ConcurrentHashMap<>();
        private FakePlatform.FakeTarget row;
        private volatile String name = "restarted-0";

        private RestartingTarget(FakePlatform platform, String service) throws IOException {
            this.platform = platform;
            this.service = service;
            this.row = addRow();
        }

        private FakePlatform.FakeTarget addRow() throws IOException {
            FakePlatform.FakeTarget added = platform.addTarget(name, service);
            added.reachThrough(process.address());
            return added;
        }

        private void restart(int number) {
            name = "restarted-" + number;
        }

        /** Rejects a request that is meant for the former name, and repeats that if the request comes on the same connection again. */
        private synchronized void answer(ScriptedTarget.Call call) throws IOException, InterruptedException {
            String rejection =
                    "HTTP/1.1 421 Misdirected\r\n" + call.identityHeaders(name) + "Content-Length: 2\r\n\r\nno";
            if (!name.equals(call.headers().get("X-Expect-Instance"))) {
                rejected.incrementAndGet();
                rejectedOn.put(call.id(), call.connection());
                FakePlatform.FakeTarget former = row;
                row = addRow();
                call.write(rejection);
                former.leave();
                return;
            }
            if (rejectedOn.containsKey(call.id())) {
                writtenAgain.incrementAndGet();
            }
            if (rejectedOn.getOrDefault(call.id(), -1) == call.connection()) {
                copied.incrementAndGet();
                call.write(rejection);
            }
            run(call, name);
        }

        @Override
        public void close() throws IOException {
            process.close();
        }
    }

    private static FakePlatform platform() throws IOException {
        FakePlatform platform = new FakePlatform();
        platform.configure(SilenceConfiguration.ofSingleRuns().text(2));
        return platform;
    }

    private static String service(String path) {
        return path.equals("/chat/x") ? "engines" : "plain";
    }

    /** Guards against a copy of a rejection that is taken for the answer when a refused request comes again under its id. */
    @ParameterizedTest
    @ValueSource(strings = {"/chat/x", "/book/x"})
    void aRefusedRequestThatComesAgainRunsOnce(String path) throws Exception {
        Map<String, Integer> statuses = new HashMap<>();
        try (FakePlatform platform = platform();
                ScriptedTarget one = new ScriptedTarget(rejectingOnce("one"));
                ScriptedTarget two = new ScriptedTarget(rejectingOnce("two"));
                EntryProcesses entries = new EntryProcesses(platform, 1, directory)) {
            platform.addTarget("one", service(path)).reachThrough(one.address());
            platform.addTarget("two", service(path)).reachThrough(two.address());
            entries.awaitReady();
            awaitServed(entries, path);
            for (int number = 0; number < REQUESTS; number++) {
                String id = "again-" + number;
                int status = 503;
                for (int arrival = 0;
                        SingleRunAssertions.NOT_RUN.contains(status) && arrival < MAXIMUM_ARRIVALS;
                        arrival++) {
                    status = send(entries, path, id);
                }
                statuses.put(id, status);
            }
            Thread.sleep(LATE_RUNS.toMillis());
        }
        verify(statuses);
    }

    /** Guards against a copy of a rejection for a former name that is taken for the answer to the write under the new name. */
    @ParameterizedTest
    @ValueSource(strings = {"/chat/x", "/book/x"})
    void aRequestRejectedForAFormerNameOfItsTargetRunsOnce(String path) throws Exception {
        Map<String, Integer> statuses = new HashMap<>();
        try (FakePlatform platform = platform();
                RestartingTarget restarting = new RestartingTarget(platform, service(path));
                ScriptedTarget other = new ScriptedTarget(rejectingSlowly("other"));
                EntryProcesses entries = new EntryProcesses(platform, 1, directory)) {
            platform.addTarget("other", service(path)).reachThrough(other.address());
            entries.awaitReady();
            awaitServed(entries, path);
            for (int restart = 1; restart <= RESTARTS; restart++) {
                for (int number = 0; number < OTHER_REQUESTS_PER_RESTART; number++) {
                    send(entries, path, FIRST + restart + "-" + number);
                }
                restarting.restart(restart);
                String id = "renamed-" + restart;
                statuses.put(id, send(entries, path, id));
            }
            Thread.sleep(LATE_RUNS.toMillis());
        }
        assertThat(writtenAgain).hasPositiveValue();
        verify(statuses);
    }

    private void awaitServed(EntryProcesses entries, String path) throws Exception {
        int status = 0;
        for (int attempt = 0; status != 200 && attempt < 200; attempt++) {
            status = send(entries, path, FIRST + attempt);
            Thread.sleep(RUN_MILLIS);
        }
        assertThat(status).isEqualTo(200);
    }

    private int send(EntryProcesses entries, String path, String id) throws Exception {
        return client.send(request(entries, path, id), HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    private static HttpRequest request(EntryProcesses entries, String path, String id) {
        return CallerRequests.post(entries.entries().get(0).address(), path, id, CALLER_TIMEOUT, "hi", "base/a1")
                .build();
    }

    private void verify(Map<String, Integer> statuses) {
        System.out.printf(
                "%d requests, %d rejected, %d written to their target under another name, %d copies, statuses %s, ran twice %d%n",
                statuses.size(),
                rejected.get(),
                writtenAgain.get(),
                copied.get(),
                Set.copyOf(statuses.values()),
                runs.values().stream().filter(count -> count > 1).count());
        SingleRunAssertions.assertNoneRanTwiceOrThoughItWasRefused(runs, statuses);
        assertThat(statuses.values()).contains(200);
    }
}
