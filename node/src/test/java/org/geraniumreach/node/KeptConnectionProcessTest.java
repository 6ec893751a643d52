package org.geraniumreach.node;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
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
    private static final long RUN_MILLIS = 50;
    private static final String FIRST = "first-";
    private static final String EVENT = "id: 1\ndata: x\n\n";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger rejected = new AtomicInteger();
    private final AtomicInteger copied = new AtomicInteger();

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    private static String ids(ScriptedTarget.Call call, String name) {
        return "X-Attempt-Id: " + call.id() + "\r\nX-Instance-Id: " + name + "\r\n";
    }

    private void run(ScriptedTarget.Call call, String name) throws IOException, InterruptedException {
        runs.merge(call.id(), 1, Integer::sum);
        Thread.sleep(RUN_MILLIS);
        call.write("HTTP/1.1 200 OK\r\n" + ids(call, name) + "X-Server-Seal: " + name + "\r\nContent-Type: "
                + (call.headers().containsKey("X-Model") ? "text/event-stream" : "text/plain")
                + "\r\nContent-Length: " + EVENT.length() + "\r\n\r\n" + EVENT);
    }

    /** Rejects each request when it comes first, and repeats that if the request comes on the same connection again. */
    private ScriptedTarget.Script rejectingOnce(String name) {
        Map<String, Integer> rejectedOn = new ConcurrentHashMap<>();
        return call -> {
            String rejection =
                    "HTTP/1.1 503 Busy\r\n" + ids(call, name) + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
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

    private static FakePlatform platform() throws IOException {
        FakePlatform platform = new FakePlatform();
        SilenceConfiguration configuration = new SilenceConfiguration();
        for (String service : List.of("engines", "plain")) {
            configuration.addService(service);
        }
        configuration.addRoute("flow", "/chat/", "engines");
        configuration.addRoute("book", "/book/", "plain");
        platform.configure(configuration.text(2));
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
                "%d requests, %d rejected, %d copies, statuses %s, ran twice %d%n",
                statuses.size(),
                rejected.get(),
                copied.get(),
                Set.copyOf(statuses.values()),
                runs.values().stream().filter(count -> count > 1).count());
        SingleRunAssertions.assertNoneRanTwiceOrThoughItWasRefused(runs, statuses);
        assertThat(statuses.values()).contains(200);
    }
}
