package org.geraniumreach.node;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Cuts a target's answers off after every third of their bytes, and answers whole if the request comes again. */
class CutAnswerTest {

    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(4);
    private static final int EVENTS = 3;
    private static final int FIRST_RESUMED = 2;

    /** They allow the retries of the requests whose answers are cut off. */
    private static final int OTHER_REQUESTS = 200;

    private static final String CUT = "cut-";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final FakePlatform platform = new FakePlatform();
    private final Map<String, Integer> sends = new ConcurrentHashMap<>();
    private final ScriptedTarget target = new ScriptedTarget(this::answer);
    private volatile Framing framing = Framing.CHUNKED;

    /** How the target tells where the body ends. */
    private enum Framing {
        CHUNKED,
        LENGTH;

        String frame(String body) {
            return this == LENGTH
                    ? "Content-Length: " + body.length() + "\r\n\r\n" + body
                    : "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                            + "\r\n0\r\n\r\n";
        }
    }

    CutAnswerTest() throws IOException {
        SilenceConfiguration configuration = new SilenceConfiguration();
        configuration.addService("engines");
        configuration.addService("plain");
        configuration.addRoute("chat", "/chat/stream/", "engines");
        configuration.addRoute("flow", "/chat/flow/", "engines");
        configuration.addRoute("look", "/look/", "plain");
        configuration.addRoute("book", "/book/", "plain");
        platform.configure(configuration.text(2));
        platform.addTarget("one", "engines").reachThrough(target.address());
        platform.addTarget("two", "plain").reachThrough(target.address());
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        platform.close();
    }

    private void answer(ScriptedTarget.Call call) throws IOException {
        int first = Optional.ofNullable(call.headers().get("Last-Event-Id"))
                        .map(Integer::parseInt)
                        .orElse(0)
                + 1;
        boolean stream = call.headers().containsKey("X-Model");
        String text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + call.id() + "\r\nX-Server-Seal: one\r\nContent-Type: "
                + (stream ? "text/event-stream" : "text/plain") + "\r\n" + framing.frame(body(stream, first));
        boolean cut = call.id().startsWith(CUT) && sends.merge(call.id(), 1, Integer::sum) == 1;
        if (!cut) {
            call.write(text);
            return;
        }
        String[] parts = call.id().split("-");
        call.write(text.substring(0, Math.min(Integer.parseInt(parts[1]), text.length() - 1)));
        call.client().setSoLinger(parts[2].equals("reset"), 0);
        call.client().close();
    }

    private static String body(boolean stream, int first) {
        return stream
                ? IntStream.rangeClosed(first, EVENTS)
                        .mapToObj(number -> "id: " + number + "\ndata: x\n\n")
                        .reduce("", String::concat)
                : "a whole answer";
    }

    private static Stream<Arguments> routes() {
        return Stream.of(Framing.values())
                .flatMap(framing -> Stream.of(
                        Arguments.of("/chat/stream/x", framing, 1),
                        Arguments.of("/chat/stream/x", framing, FIRST_RESUMED),
                        Arguments.of("/chat/flow/x", framing, 1),
                        Arguments.of("/look/x", framing, 1),
                        Arguments.of("/book/x", framing, 1)));
    }

    /** Guards against an answer that its target has cut off, also within its head, and that its caller gets as a whole one. */
    @ParameterizedTest
    @MethodSource("routes")
    void noCutAnswerIsPassedOnAsWhole(String path, Framing newFraming, int firstEvent) throws Exception {
        framing = newFraming;
        FakeFleet fleet = new FakeFleet(platform, 1);
        fleet.awaitReady(path);
        for (int number = 0; number < OTHER_REQUESTS; number++) {
            assertThat(send(fleet, path, "other-" + number, 1)).startsWith("200 ");
        }
        String whole = "200 " + body(path.startsWith("/chat/"), firstEvent);
        boolean repeatable = path.startsWith("/chat/stream/") || path.startsWith("/look/");
        SoftAssertions softly = new SoftAssertions();
        for (String end : new String[] {"close", "reset"}) {
            for (int length = 0; length < 200; length += 3) {
                String id = CUT + length + "-" + end;
                String outcome = send(fleet, path, id, firstEvent);
                softly.assertThat(outcome)
                        .as(id)
                        .matches(text -> text.equals(whole)
                                ? repeatable
                                : text.equals("broken") || text.startsWith("502") || text.startsWith("503"));
                int runs = sends.getOrDefault(id, 0);
                softly.assertThat(outcome.startsWith("503") && runs > 0).as(id).isFalse();
                softly.assertThat(repeatable || runs <= 1).as(id).isTrue();
            }
        }
        softly.assertAll();
        assertThat(sends.size()).as("requests whose answers were cut off").isGreaterThan(100);
    }

    private String send(FakeFleet fleet, String path, String id, int firstEvent) throws InterruptedException {
        HttpRequest.Builder request = CallerRequests.post(fleet.address(0), path, id, CALLER_TIMEOUT, "hi", "base/a1");
        if (firstEvent > 1) {
            request.header("Last-Event-Id", String.valueOf(firstEvent - 1)).header("Resumes", "other-0");
        }
        try {
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return response.statusCode() + " " + response.body();
        } catch (IOException broken) {
            return "broken";
        }
    }
}
