package org.geraniumreach.node;

import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Suspends the process of an entry between two writes of a request that may run once, while copies of its rejection come. */
class SuspendedBetweenWritesTest {

    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(6);
    private static final Duration SUSPENSION = Duration.ofMillis(700);
    private static final Duration LATE_RUNS = Duration.ofMillis(500);
    private static final int REQUESTS = 6;

    /** They allow the retries of the rejected ones. */
    private static final int OTHER_REQUESTS_PER_REQUEST = 2;

    private static final int SERVED = 200;
    private static final long RUN_MILLIS = 20;
    private static final String PREPARING = "preparing-";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, String> rejectedOn = new ConcurrentHashMap<>();
    private volatile Suspension suspension = moment -> {};

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    @FunctionalInterface
    private interface Suspension {
        void suspend(Moment moment) throws IOException, InterruptedException;
    }

    /** When the entry is suspended, seen from a target. */
    private enum Moment {
        BEFORE_THE_REJECTION,
        BEHIND_THE_REJECTION,
        AT_THE_NEXT_WRITE
    }

    private void answer(String name, ScriptedTarget.Call call) throws IOException, InterruptedException {
        String rejection = "HTTP/1.1 421 Misdirected\r\n" + call.identityHeaders(name) + "Content-Length: 2\r\n\r\nno";
        String connection = name + call.connection();
        if (!call.id().startsWith(PREPARING) && rejectedOn.putIfAbsent(call.id(), connection) == null) {
            suspension.suspend(Moment.BEFORE_THE_REJECTION);
            call.write(rejection);
            suspension.suspend(Moment.BEHIND_THE_REJECTION);
            call.write(rejection);
            return;
        }
        if (connection.equals(rejectedOn.get(call.id()))) {
            call.write(rejection);
        }
        runs.merge(call.id(), 1, Integer::sum);
        if (!call.id().startsWith(PREPARING)) {
            suspension.suspend(Moment.AT_THE_NEXT_WRITE);
        }
        Thread.sleep(RUN_MILLIS);
        call.write(call.wholeAnswer(name));
    }

    static Stream<Arguments> moments() {
        return Stream.of(Moment.values())
                .flatMap(moment -> Stream.of("/chat/x", "/book/x").map(path -> arguments(moment, path)));
    }

    /** Guards against a request that runs twice because its entry had no processor time between a rejection and the next write. */
    @ParameterizedTest
    @MethodSource("moments")
    void aRequestWhoseEntryIsSuspendedBetweenItsWritesRunsOnce(Moment wanted, String path) throws Exception {
        Map<String, Integer> statuses = new HashMap<>();
        try (FakePlatform platform = new FakePlatform();
                ScriptedTarget one = new ScriptedTarget(call -> answer("one", call));
                ScriptedTarget two = new ScriptedTarget(call -> answer("two", call));
                EntryProcesses entries = new EntryProcesses(platform, 1, directory)) {
            platform.configure(SilenceConfiguration.ofSingleRuns().text(2));
            String service = path.equals("/chat/x") ? "engines" : "plain";
            platform.addTarget("one", service).reachThrough(one.address());
            platform.addTarget("two", service).reachThrough(two.address());
            entries.awaitReady();
            awaitServed(entries, path);
            EntryProcesses.Entry entry = entries.entries().get(0);
            suspension = moment -> {
                if (moment == wanted) {
                    entry.signal("STOP");
                    Thread.sleep(SUSPENSION.toMillis());
                    entry.signal("CONT");
                }
            };
            for (int number = 0; number < REQUESTS; number++) {
                for (int other = 0; other < OTHER_REQUESTS_PER_REQUEST; other++) {
                    send(entries, path, PREPARING + number + "-" + other);
                }
                String id = wanted + "-" + number;
                statuses.put(id, send(entries, path, id));
            }
            Thread.sleep(LATE_RUNS.toMillis());
        }
        assertThat(runs).containsKeys(statuses.keySet().toArray(String[]::new));
        SingleRunAssertions.assertNoneRanTwiceOrThoughItWasRefused(runs, statuses);
        List<String> log = Files.readAllLines(directory.resolve("entry-0.log"));
        assertThat(statuses.keySet())
                .allSatisfy(id -> assertThat(log).anyMatch(line -> SingleRunAssertions.tellsBothWrites(line, id)));
    }

    private void awaitServed(EntryProcesses entries, String path) throws Exception {
        int status = 0;
        for (int attempt = 0; status != SERVED && attempt < 200; attempt++) {
            status = send(entries, path, PREPARING + attempt);
            Thread.sleep(RUN_MILLIS);
        }
        assertThat(status).isEqualTo(SERVED);
    }

    private int send(EntryProcesses entries, String path, String id) throws Exception {
        return CallerRequests.status(
                client,
                CallerRequests.post(entries.entries().get(0).address(), path, id, CALLER_TIMEOUT, "hi", "base/a1")
                        .build());
    }
}
