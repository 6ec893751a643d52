package org.geraniumreach.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs an entry as a process whose log is not read for a while, so that lines are dropped. */
class FullLogProcessTest {

    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(8);
    private static final int SERVED = 200;
    private static final int WRITTEN_TWICE = 20;
    private static final int BATCHES = 120;
    private static final int BATCH_REQUESTS = 50;
    private static final String OTHER = "other-";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Set<String> rejected = ConcurrentHashMap.newKeySet();

    @TempDir
    private Path directory;

    private void answer(String name, ScriptedTarget.Call call) throws IOException {
        if (!call.id().startsWith(OTHER) && rejected.add(call.id())) {
            call.write("HTTP/1.1 421 Misdirected\r\n" + call.identityHeaders(name) + "Content-Length: 0\r\n\r\n");
            return;
        }
        runs.merge(call.id(), 1, Integer::sum);
        call.write(call.wholeAnswer(name));
    }

    /** Guards against a log that cannot tell of a request that is written more than once what happened, since it dropped lines at load. */
    @ParameterizedTest
    @ValueSource(strings = {"/chat/x", "/book/x"})
    void theLinesOfRequestsThatAreWrittenTwiceAreKeptWhileOthersAreDropped(String path) throws Exception {
        Path log = directory.resolve("entry-0.log");
        new ProcessBuilder("mkfifo", log.toString()).start().waitFor();
        CompletableFuture<InputStream> reader = CompletableFuture.supplyAsync(() -> open(log));
        Map<String, Integer> statuses = new HashMap<>();
        CompletableFuture<List<String>> lines;
        try (FakePlatform platform = new FakePlatform();
                ScriptedTarget one = new ScriptedTarget(call -> answer("one", call));
                ScriptedTarget two = new ScriptedTarget(call -> answer("two", call));
                EntryProcesses entries = new EntryProcesses(platform, 1, directory)) {
            platform.configure(SilenceConfiguration.ofSingleRuns().text(2));
            String service = path.equals("/chat/x") ? "engines" : "plain";
            platform.addTarget("one", service).reachThrough(one.address());
            platform.addTarget("two", service).reachThrough(two.address());
            InputStream output = reader.get();
            entries.awaitReady();
            for (int batch = 0; batch < BATCHES; batch++) {
                sendOthers(entries, path, batch);
            }
            for (int number = 0; number < WRITTEN_TWICE; number++) {
                String id = "twice-" + number;
                statuses.put(id, send(entries, path, id).join());
            }
            lines = CompletableFuture.supplyAsync(() -> readLines(output));
            sendOthers(entries, path, BATCHES);
            entries.entries().get(0).signal("TERM");
            entries.entries().get(0).awaitExit();
        }
        verify(statuses, lines.get());
    }

    private void verify(Map<String, Integer> statuses, List<String> lines) {
        SingleRunAssertions.assertNoneRanTwiceOrThoughItWasRefused(runs, statuses);
        assertThat(statuses.values()).containsOnly(SERVED);
        assertThat(lines)
                .as("lines that were dropped")
                .anyMatch(line -> line.contains("LOG_LINES_DROPPED") && line.contains("\"retainedLines\":0"))
                .noneMatch(line -> line.contains("LOG_LINES_DROPPED") && !line.contains("\"retainedLines\":0"));
        assertThat(statuses.keySet()).allSatisfy(id -> {
            List<String> own = lines.stream()
                    .filter(line -> line.contains("\"id\":\"" + id + "\""))
                    .toList();
            assertThat(own).anyMatch(line -> line.contains("ATTEMPT_NOT_EXECUTED"));
            assertThat(own).anyMatch(line -> line.contains("REQUEST_PLACED") && line.contains("REJECTED"));
            assertThat(own)
                    .anyMatch(
                            line -> line.contains("REQUEST_ANSWERED") && SingleRunAssertions.tellsBothWrites(line, id));
        });
    }

    private static InputStream open(Path log) {
        try {
            return Files.newInputStream(log);
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static List<String> readLines(InputStream output) {
        try (output) {
            return new String(output.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private void sendOthers(EntryProcesses entries, String path, int batch) {
        List<CompletableFuture<Integer>> sent = new ArrayList<>();
        for (int number = 0; number < BATCH_REQUESTS; number++) {
            sent.add(send(entries, path, OTHER + batch + "-" + number));
        }
        sent.forEach(CompletableFuture::join);
    }

    private CompletableFuture<Integer> send(EntryProcesses entries, String path, String id) {
        return client.sendAsync(
                        CallerRequests.post(
                                        entries.entries().get(0).address(), path, id, CALLER_TIMEOUT, "hi", "base/a1")
                                .build(),
                        HttpResponse.BodyHandlers.discarding())
                .thenApply(HttpResponse::statusCode)
                .exceptionally(broken -> 0);
    }
}
