package org.geraniumreach.node;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs an entry as a process before targets that reject each request once, in all ways, and repeat that at all moments. */
class RepeatedAnswersProcessTest {

    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(8);
    private static final Duration LATE_RUNS = Duration.ofMillis(500);
    private static final List<String> TARGETS = List.of("one", "two", "three");
    private static final int SERVED = 200;
    private static final int CALLERS = 6;
    private static final int ROUNDS = 2;
    private static final long RUN_MILLIS = 10;
    private static final long LATE_MILLIS = 5;
    private static final String OTHER = "other";

    /** More than a connection takes before it is read. */
    private static final String LONG_BODY = "x".repeat(8_000_000);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ExecutorService executor = Executors.newFixedThreadPool(CALLERS);
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final Set<String> answeredOnce = ConcurrentHashMap.newKeySet();
    private final AtomicInteger repeated = new AtomicInteger();

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    /** The first answer to a request; one that says so is no run. */
    private enum FirstAnswer {
        ABSENT("421 Misdirected", ""),
        FULL("503 Busy", "X-Not-Executed: 1\r\n"),
        LIMITED("429 Limited", "X-Not-Executed: 1\r\n"),
        LATE("408 Late", "X-Not-Executed: 1\r\n"),
        INVALID("400 Invalid", "X-Not-Executed: 1\r\n"),
        FAILED("500 Failed", ""),
        OVERDUE("504 Overdue", ""),
        FAILED_AND_MARKED("500 Failed", "X-Not-Executed: 1\r\n");

        private final String status;
        private final String mark;

        FirstAnswer(String status, String mark) {
            this.status = status;
            this.mark = mark;
        }

        private boolean isRejection() {
            return ordinal() <= INVALID.ordinal();
        }
    }

    /** What goes with the first answer. */
    private enum Form {
        PLAIN("", ""),
        CLOSING("", "Connection: close\r\n"),
        INFORMED("HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n\r\n", ""),
        BEFORE_BODY("", "");

        private final String before;
        private final String header;

        Form(String before, String header) {
            this.before = before;
            this.header = header;
        }
    }

    /** When the first answer comes once more on its connection. */
    private enum Repetition {
        AT_ONCE,
        LATE,
        BEFORE_THE_NEXT_ANSWER,
        BEHIND_THE_NEXT_ANSWER
    }

    /** A request, which its id describes. */
    private record Case(FirstAnswer first, Form form, Repetition repetition) {

        private static Case of(String id) {
            String[] words = id.split("\\.");
            return new Case(FirstAnswer.valueOf(words[0]), Form.valueOf(words[1]), Repetition.valueOf(words[2]));
        }

        private String id(int round) {
            return first + "." + form + "." + repetition + "." + round;
        }
    }

    /** A target, with the answers that are to be repeated on its connections. */
    private final class RepeatingTarget implements ScriptedTarget.Script, AutoCloseable {
        private final String name;
        private final ScriptedTarget process = new ScriptedTarget(this);
        private final Map<Integer, String> before = new ConcurrentHashMap<>();
        private final Map<Integer, String> behind = new ConcurrentHashMap<>();

        private RepeatingTarget(String name) throws IOException {
            this.name = name;
        }

        @Override
        public boolean answersBeforeBody(ScriptedTarget.Call call) {
            return hasLongBody(call.id()) && !answeredOnce.contains(call.id());
        }

        @Override
        public void answer(ScriptedTarget.Call call) throws IOException, InterruptedException {
            if (before.containsKey(call.connection())) {
                repeated.incrementAndGet();
                call.write(before.remove(call.connection()));
            }
            if (call.id().startsWith(OTHER) || !answeredOnce.add(call.id())) {
                run(call);
            } else {
                answerFirst(call, Case.of(call.id()));
            }
        }

        private void run(ScriptedTarget.Call call) throws IOException, InterruptedException {
            runs.merge(call.id(), 1, Integer::sum);
            Thread.sleep(RUN_MILLIS);
            call.write(call.wholeAnswer(name));
            if (behind.containsKey(call.connection())) {
                repeated.incrementAndGet();
                call.write(behind.remove(call.connection()));
            }
        }

        private void answerFirst(ScriptedTarget.Call call, Case wanted) throws IOException, InterruptedException {
            if (!wanted.first().isRejection()) {
                runs.merge(call.id(), 1, Integer::sum);
            }
            String answer =
                    wanted.form().before + "HTTP/1.1 " + wanted.first().status + "\r\n" + call.identityHeaders(name)
                            + wanted.first().mark + wanted.form().header + "Content-Length: 2\r\n\r\nno";
            switch (wanted.repetition()) {
                case AT_ONCE -> {
                    repeated.incrementAndGet();
                    call.write(answer + answer);
                }
                case LATE -> {
                    call.write(answer);
                    Thread.sleep(LATE_MILLIS);
                    repeated.incrementAndGet();
                    call.write(answer);
                }
                case BEFORE_THE_NEXT_ANSWER -> {
                    before.put(call.connection(), answer);
                    call.write(answer);
                }
                default -> {
                    behind.put(call.connection(), answer);
                    call.write(answer);
                }
            }
        }

        @Override
        public void close() throws IOException {
            process.close();
        }
    }

    private static boolean hasLongBody(String id) {
        return !id.startsWith(OTHER) && Case.of(id).form() == Form.BEFORE_BODY;
    }

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    private static List<Case> cases() {
        List<Case> cases = new ArrayList<>();
        for (FirstAnswer first : FirstAnswer.values()) {
            for (Form form : Form.values()) {
                for (Repetition repetition : Repetition.values()) {
                    cases.add(new Case(first, form, repetition));
                }
            }
        }
        return cases;
    }

    /** Guards against a repeated answer of any kind that is taken for the answer to another write, so that a request runs twice. */
    @ParameterizedTest
    @ValueSource(strings = {"/chat/x", "/book/x"})
    void eachRequestRunsOnceWhateverAnswerIsRepeated(String path) throws Exception {
        List<RepeatingTarget> targets = new ArrayList<>();
        try (FakePlatform platform = new FakePlatform()) {
            String service = path.equals("/chat/x") ? "engines" : "plain";
            SilenceConfiguration configuration = SilenceConfiguration.ofSingleRuns();
            configuration.setMaximumBody(LONG_BODY.length());
            platform.configure(configuration.text(2));
            for (String name : TARGETS) {
                RepeatingTarget target = new RepeatingTarget(name);
                targets.add(target);
                platform.addTarget(name, service).reachThrough(target.process.address());
            }
            try (EntryProcesses entries = new EntryProcesses(platform, 1, directory)) {
                entries.awaitReady();
                awaitServed(entries, path);
                sendAll(entries, path);
                Thread.sleep(LATE_RUNS.toMillis());
            }
        } finally {
            for (RepeatingTarget target : targets) {
                target.close();
            }
        }
        verify();
    }

    private void awaitServed(EntryProcesses entries, String path) throws Exception {
        int status = 0;
        for (int attempt = 0; status != SERVED && attempt < 200; attempt++) {
            status = send(entries, path, OTHER + "." + attempt);
            Thread.sleep(RUN_MILLIS);
        }
        assertThat(status).isEqualTo(SERVED);
    }

    /** Sends each request beside another one, whose answer a repeated one may precede. */
    private void sendAll(EntryProcesses entries, String path) throws Exception {
        List<Case> cases = cases();
        List<Future<?>> sent = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            Collections.shuffle(cases, new Random(round));
            for (Case each : cases) {
                String id = each.id(round);
                sent.add(executor.submit(() -> statuses.put(id, send(entries, path, id))));
                sent.add(executor.submit(() -> statuses.put(OTHER + id, send(entries, path, OTHER + id))));
            }
        }
        for (Future<?> each : sent) {
            each.get();
        }
    }

    private int send(EntryProcesses entries, String path, String id) throws Exception {
        String body = hasLongBody(id) ? LONG_BODY : "hi";
        HttpRequest request = CallerRequests.post(
                        entries.entries().get(0).address(), path, id, CALLER_TIMEOUT, body, "base/a1")
                .build();
        return CallerRequests.status(client, request);
    }

    private void verify() throws IOException {
        System.out.printf(
                "%d requests, %d answers repeated, by status %s%n",
                statuses.size(),
                repeated.get(),
                statuses.values().stream().collect(Collectors.groupingBy(Function.identity(), Collectors.counting())));
        SingleRunAssertions.assertNoneRanTwiceOrThoughItWasRefused(runs, statuses);
        assertThat(statuses.entrySet())
                .as("requests that a target ran to the end and whose answers were lost")
                .filteredOn(ended -> ended.getKey().startsWith(OTHER) && ended.getValue() != SERVED)
                .isEmpty();
        assertThat(Files.readString(directory.resolve("entry-0.log"))).doesNotContain("REJECTED_REQUEST_RAN");
    }
}
