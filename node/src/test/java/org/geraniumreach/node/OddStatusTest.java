package org.geraniumreach.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Lets a target run requests and answer them whole with a status that HTTP does not have, and with 200 if they come again. */
class OddStatusTest {

    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(4);
    private static final int EVENTS = 3;

    /** They allow the retries of the requests that are answered with odd statuses in the same way. */
    private static final int OTHER_REQUESTS = 40;

    private static final String ODD = "odd-";
    private static final List<String> STATUSES = List.of(
            "000", "001", "099", "101", "600", "601", "999", "1000", "0200", "2000", "20", "+200", "-200", "2OO", "OK");

    private final FakePlatform platform = new FakePlatform();
    private final Map<String, Integer> sends = new ConcurrentHashMap<>();
    private final Map<Socket, String> oddConnections = new ConcurrentHashMap<>();
    private final Map<String, String> usedAgain = new ConcurrentHashMap<>();
    private final List<ScriptedTarget> targets = new ArrayList<>();
    private int others;
    private volatile boolean sealed;
    private volatile Framing framing = Framing.LENGTH;

    /** How the target tells where the body ends. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        CONNECTION;

        String frame(String body) {
            return switch (this) {
                case LENGTH -> "Content-Length: " + body.length() + "\r\n\r\n" + body;
                case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n"
                        + body + "\r\n0\r\n\r\n";
                case CONNECTION -> "\r\n" + body;
            };
        }
    }

    OddStatusTest() throws IOException {
        SilenceConfiguration configuration = new SilenceConfiguration();
        configuration.addService("engines");
        configuration.addService("plain");
        configuration.addRoute("chat", "/chat/stream/", "engines");
        configuration.addRoute("flow", "/chat/flow/", "engines");
        configuration.addRoute("look", "/look/", "plain");
        configuration.addRoute("book", "/book/", "plain");
        platform.configure(configuration.text(2));
        for (String service : new String[] {"engines", "plain"}) {
            for (int number = 0; number < 2; number++) {
                ScriptedTarget target = new ScriptedTarget(this::answer);
                targets.add(target);
                platform.addTarget(service + number, service).reachThrough(target.address());
            }
        }
    }

    @AfterEach
    void close() throws IOException {
        for (ScriptedTarget target : targets) {
            target.close();
        }
        platform.close();
    }

    private void answer(ScriptedTarget.Call call) throws IOException {
        Optional.ofNullable(oddConnections.get(call.client())).ifPresent(earlier -> usedAgain.put(earlier, call.id()));
        boolean odd = call.id().startsWith(ODD) && sends.merge(call.id(), 1, Integer::sum) == 1;
        int first = Optional.ofNullable(call.headers().get("Last-Event-Id"))
                        .map(Integer::parseInt)
                        .orElse(0)
                + 1;
        boolean stream = call.headers().containsKey("X-Model");
        String head = "X-Attempt-Id: " + call.id() + "\r\n" + (odd && !sealed ? "" : "X-Server-Seal: one\r\n")
                + "Content-Type: " + (stream ? "text/event-stream" : "text/plain") + "\r\n";
        String body = body(stream, first);
        if (!odd) {
            call.write("HTTP/1.1 200 OK\r\n" + head + Framing.LENGTH.frame(body));
            return;
        }
        String status = call.id().substring(ODD.length(), call.id().indexOf("-" + framing));
        oddConnections.put(call.client(), call.id());
        call.write("HTTP/1.1 " + status + " Odd\r\n" + head + framing.frame(body));
        if (framing == Framing.CONNECTION) {
            call.client().close();
        }
    }

    private static String body(boolean stream, int first) {
        return stream
                ? IntStream.rangeClosed(first, EVENTS)
                        .mapToObj(number -> "id: " + number + "\ndata: x\n\n")
                        .reduce("", String::concat)
                : "a whole answer";
    }

    /** Guards against an answer without a status of HTTP that reaches its caller, or that counts as a request that has not run. */
    @ParameterizedTest
    @CsvSource({"/chat/stream/x, 1", "/chat/stream/x, 2", "/chat/flow/x, 1", "/look/x, 1", "/book/x, 1"})
    void noAnswerWithAnOddStatusIsPassedOn(String path, int firstEvent) throws Exception {
        FakeFleet fleet = new FakeFleet(platform, 1);
        fleet.awaitReady(path);
        boolean repeatable = path.startsWith("/chat/stream/") || path.startsWith("/look/");
        String whole = "200 " + body(path.startsWith("/chat/"), firstEvent);
        SoftAssertions softly = new SoftAssertions();
        for (Framing newFraming : Framing.values()) {
            framing = newFraming;
            for (boolean newSealed : new boolean[] {true, false}) {
                sealed = newSealed;
                sendOthers(fleet, path);
                for (String status : STATUSES) {
                    String id = ODD + status + "-" + framing + "-" + sealed;
                    String outcome = send(fleet, path, id, firstEvent);
                    softly.assertThat(outcome).as(id).startsWith(repeatable ? whole : "502 ");
                    softly.assertThat(sends.get(id)).as(id).isEqualTo(repeatable ? 2 : 1);
                }
            }
        }
        softly.assertThat(usedAgain).as("connections used after an odd answer").isEmpty();
        softly.assertAll();
    }

    private void sendOthers(FakeFleet fleet, String path) throws IOException {
        for (int number = 0; number < OTHER_REQUESTS; number++) {
            assertThat(send(fleet, path, "other-" + others++, 1)).startsWith("200 ");
        }
    }

    /** Sends a request on a connection of its own and returns the status and the body of the answer as they are written. */
    private static String send(FakeFleet fleet, String path, String id, int firstEvent) throws IOException {
        String resumes = firstEvent > 1 ? "Last-Event-Id: " + (firstEvent - 1) + "\r\nResumes: other-0\r\n" : "";
        String model = path.startsWith("/chat/") ? "X-Model: base/a1\r\nX-Token-Count: 100,5\r\n" : "";
        String request = "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                + CALLER_TIMEOUT.toMillis() + "\r\nAuthorization: Bearer " + FakePlatform.KEY + "\r\n" + model + resumes
                + "Content-Length: 2\r\nConnection: close\r\n\r\nhi";
        try (Socket socket =
                new Socket(fleet.address(0).getAddress(), fleet.address(0).getPort())) {
            socket.setSoTimeout((int) CALLER_TIMEOUT.toMillis() + 1_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            String statusLine = HttpMessages.readLine(in);
            Map<String, String> headers = HttpMessages.readHeaders(in);
            String status = statusLine.split(" ")[1];
            return status + " " + HttpMessages.readBody(in, headers);
        }
    }
}
