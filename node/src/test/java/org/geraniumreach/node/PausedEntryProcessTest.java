package org.geraniumreach.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Holds the process of an entry up while requests reach its machine, as a collection, a long task or a lack of processor time does.
 *
 * <p>All threads of the process stand still, so that what has arrived meanwhile waits unread.
 */
class PausedEntryProcessTest {

    private static final int CALLERS = 12;
    private static final int LONG_DEADLINE_MILLIS = 10_000;
    private static final int ROUTE_TIMEOUT_MILLIS = 1_500;
    private static final int ANSWER_MARGIN_MILLIS = 500;
    private static final int SOCKET_TIMEOUT_MILLIS = 4_000;

    /** An entry may take a request for older than it is by the time between two looks at its connections. */
    private static final int ARRIVAL_RESOLUTION_MILLIS = 100;

    private static final Duration TIME_TO_ARRIVE = Duration.ofMillis(200);
    private static final Duration TIME_TO_REACH_TARGETS = Duration.ofMillis(1_000);

    /** The deadlines that the target was told, by the id of the request. */
    private final Map<String, Integer> deadlinesAtTarget = new ConcurrentHashMap<>();

    private final List<Socket> sockets = new ArrayList<>();

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    private FakePlatform platform;
    private ScriptedTarget target;
    private EntryProcesses entries;
    private EntryProcesses.Entry entry;

    /** How a caller leaves. */
    enum Departure {
        CLOSE,
        HALF_CLOSE,
        RESET,
        CLOSE_AFTER_FURTHER_REQUEST;

        private void leave(Socket caller) throws IOException {
            if (this == HALF_CLOSE) {
                caller.shutdownOutput();
                return;
            }
            if (this == CLOSE_AFTER_FURTHER_REQUEST) {
                send(caller, "look", "left-ahead", LONG_DEADLINE_MILLIS);
            }
            if (this == RESET) {
                caller.setSoLinger(true, 0);
            }
            caller.close();
        }
    }

    @BeforeEach
    void start() throws Exception {
        platform = new FakePlatform();
        target = new ScriptedTarget(this::answer);
        SilenceConfiguration configuration = new SilenceConfiguration();
        configuration.setTimeout(ROUTE_TIMEOUT_MILLIS);
        for (String service : List.of("plain", "engines")) {
            configuration.addService(service);
            platform.addTarget(service + "-0", service).reachThrough(target.address());
        }
        configuration.addRoute("look", "/look/", "plain");
        configuration.addRoute("book", "/book/", "plain");
        configuration.addRoute("chat", "/chat/", "engines");
        configuration.addRoute("flow", "/flow/", "engines");
        platform.configure(configuration.text(2));
        entries = new EntryProcesses(platform, 1, directory);
        entry = entries.entries().get(0);
        entries.awaitReady();
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        entries.close();
        target.close();
        platform.close();
    }

    /** Records a request; one whose id begins with "silent" gets no answer. */
    private void answer(ScriptedTarget.Call call) throws IOException, InterruptedException {
        deadlinesAtTarget.put(call.id(), Integer.parseInt(call.headers().getOrDefault("X-Deadline-Ms", "0")));
        if (call.id().startsWith("silent")) {
            Thread.sleep(SOCKET_TIMEOUT_MILLIS);
        }
        boolean stream = call.headers().containsKey("X-Model");
        String body = stream ? "id: 1\ndata: x\n\n" : "x";
        call.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + call.id() + "\r\nX-Server-Seal: s\r\nContent-Type: "
                + (stream ? "text/event-stream" : "text/plain") + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body);
    }

    private Socket connect() throws IOException {
        InetSocketAddress address = entry.address();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        return socket;
    }

    private static void send(Socket caller, String kind, String id, int deadlineMillis) throws IOException {
        boolean stream = kind.equals("chat") || kind.equals("flow");
        String request = "POST /" + kind + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + FakePlatform.KEY + "\r\n"
                + (stream ? "X-Model: base\r\nX-Token-Count: 100,5\r\n" : "") + "\r\nhi";
        caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** Opens connections, on which a first request is answered if they are to be kept ones. */
    private List<Socket> connect(boolean kept) throws IOException {
        List<Socket> callers = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            Socket caller = connect();
            callers.add(caller);
            if (kept) {
                send(caller, "look", "first-" + number, LONG_DEADLINE_MILLIS);
                assertThat(readHead(caller)).startsWith("HTTP/1.1 200");
                assertThat(caller.getInputStream().read()).isEqualTo('x');
            }
        }
        return callers;
    }

    private static String readHead(Socket caller) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = caller.getInputStream().read();
            if (next < 0) {
                return head + "(closed)";
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.US_ASCII);
    }

    private static Optional<String> readHeadUntilTimeout(Socket caller) throws IOException {
        try {
            return Optional.of(readHead(caller));
        } catch (SocketTimeoutException unanswered) {
            return Optional.empty();
        }
    }

    /** Guards against work for callers that have left while the entry stood still. */
    @ParameterizedTest
    @CsvSource({
        "look, CLOSE, false",
        "look, CLOSE, true",
        "look, HALF_CLOSE, false",
        "look, RESET, false",
        "look, RESET, true",
        "look, CLOSE_AFTER_FURTHER_REQUEST, false",
        "look, CLOSE_AFTER_FURTHER_REQUEST, true",
        "book, CLOSE, false",
        "chat, CLOSE, false",
        "chat, CLOSE, true",
        "flow, HALF_CLOSE, true"
    })
    void noRequestIsSentOnWhoseCallerHasLeftBeforeItWasRead(String kind, Departure departure, boolean kept)
            throws Exception {
        List<Socket> callers = kept ? connect(true) : List.of();
        entry.signal("STOP");
        List<Socket> leaving = kept ? callers : connect(false);
        for (int number = 0; number < CALLERS; number++) {
            send(leaving.get(number), kind, "left-" + number, LONG_DEADLINE_MILLIS);
            departure.leave(leaving.get(number));
        }
        Thread.sleep(TIME_TO_ARRIVE.toMillis());
        entry.signal("CONT");
        Thread.sleep(TIME_TO_REACH_TARGETS.toMillis());
        assertThat(deadlinesAtTarget.keySet()).noneMatch(id -> id.startsWith("left"));
    }

    /** Guards against requests that are sent on after their time, since it runs from when they are read. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void noRequestIsSentOnWhoseTimeHasPassedBeforeItWasRead(boolean kept) throws Exception {
        List<Socket> callers = connect(kept);
        Thread.sleep(TIME_TO_ARRIVE.toMillis());
        entry.signal("STOP");
        for (int number = 0; number < CALLERS; number++) {
            send(callers.get(number), "look", "late-" + number, 450);
        }
        Thread.sleep(600);
        entry.signal("CONT");
        long continuedAt = System.nanoTime();
        for (Socket caller : callers) {
            assertThat(readHead(caller)).startsWith("HTTP/1.1 503");
        }
        assertThat(Duration.ofNanos(System.nanoTime() - continuedAt))
                .isLessThan(Duration.ofMillis(ANSWER_MARGIN_MILLIS));
        assertThat(deadlinesAtTarget.keySet()).noneMatch(id -> id.startsWith("late"));
    }

    /** Guards against targets that work on after the caller's time, since they are told more than is left of it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aTargetIsToldWhatIsLeftOfTheTimeSinceTheRequestCame(boolean kept) throws Exception {
        List<Socket> callers = connect(kept);
        Thread.sleep(TIME_TO_ARRIVE.toMillis());
        entry.signal("STOP");
        for (int number = 0; number < CALLERS; number++) {
            send(callers.get(number), "look", "waiting-" + number, 1_200);
        }
        Thread.sleep(500);
        entry.signal("CONT");
        for (Socket caller : callers) {
            assertThat(readHead(caller)).startsWith("HTTP/1.1 200");
        }
        assertThat(deadlinesAtTarget).containsKey("waiting-0");
        deadlinesAtTarget.forEach((id, deadline) -> {
            if (id.startsWith("waiting")) {
                assertThat(deadline).isLessThanOrEqualTo(1_200 - 500);
            }
        });
    }

    /** Guards against requests that are held on after their route's timeout, since it runs from when they are read. */
    @ParameterizedTest
    @ValueSource(strings = {"look", "book", "chat", "flow"})
    void anAnswerIsSentWhenTheRoutesTimeoutHasPassedSinceTheRequestCame(String kind) throws Exception {
        List<Socket> callers = connect(false);
        Thread.sleep(TIME_TO_ARRIVE.toMillis());
        entry.signal("STOP");
        long sentAt = System.nanoTime();
        for (int number = 0; number < CALLERS; number++) {
            send(callers.get(number), kind, "silent-" + number, LONG_DEADLINE_MILLIS);
        }
        Thread.sleep(1_100);
        entry.signal("CONT");
        for (Socket caller : callers) {
            assertThat(readHeadUntilTimeout(caller)).isPresent();
        }
        assertThat(Duration.ofNanos(System.nanoTime() - sentAt))
                .isBetween(
                        Duration.ofMillis(ROUTE_TIMEOUT_MILLIS - ARRIVAL_RESOLUTION_MILLIS),
                        Duration.ofMillis(ROUTE_TIMEOUT_MILLIS + ANSWER_MARGIN_MILLIS));
    }

    /** Guards against an entry that takes requests for older than they are, and ends them before their time. */
    @Test
    void theTimeOfARequestIsNotShortenedWhereNothingStandsStill() throws Exception {
        Socket caller = connect(true).get(0);
        for (int number = 0; number < CALLERS; number++) {
            Thread.sleep(TIME_TO_ARRIVE.toMillis());
            send(caller, "look", "calm-" + number, 1_000);
            assertThat(readHead(caller)).startsWith("HTTP/1.1 200");
            assertThat(caller.getInputStream().read()).isEqualTo('x');
            assertThat(deadlinesAtTarget.get("calm-" + number))
                    .isGreaterThanOrEqualTo(1_000 - ARRIVAL_RESOLUTION_MILLIS);
        }
    }
}
