package org.geraniumreach.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Stops the process of an entry while its targets work on requests. */
class ExitingEntryProcessTest {

    private static final Duration START_TIME = Duration.ofSeconds(6);
    private static final Duration RUNNING_TIME = Duration.ofMillis(500);
    private static final Duration PAUSE_WITHIN_REQUEST = Duration.ofMillis(200);
    private static final int LONG_BODY_BYTES = 1_000;
    private static final int SOCKET_TIMEOUT_MILLIS = 15_000;
    private static final FakePlatform.Generation LONG_STREAM =
            new FakePlatform.Generation(100, 100, OptionalInt.empty());
    private static final FakePlatform.Generation LATE_EVENT =
            new FakePlatform.Generation(1, 4_500, OptionalInt.empty());

    /** The lines that tell how a request ended. */
    private static final Pattern END = Pattern.compile("\"event\":(4001|4002|4003|4011|4012|4013|4026),");

    @TempDir
    private Path directory;

    private static Socket connect(InetSocketAddress entry) throws IOException {
        Socket socket = new Socket(entry.getAddress(), entry.getPort());
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    private static byte[] request(String path, String id) {
        String request =
                "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n" + "X-Attempt-Id: " + id
                        + "\r\nX-Deadline-Ms: 10000\r\nAuthorization: Bearer " + FakePlatform.KEY + "\r\n"
                        + (path.startsWith("/chat/") ? "X-Model: base\r\nX-Token-Count: 100,5\r\n" : "")
                        + "\r\nhi";
        return request.getBytes(StandardCharsets.US_ASCII);
    }

    private static CompletableFuture<String> readAll(Socket socket) {
        return CompletableFuture.supplyAsync(() -> {
            StringBuilder received = new StringBuilder();
            byte[] buffer = new byte[1_024];
            try {
                for (int count = socket.getInputStream().read(buffer);
                        count >= 0;
                        count = socket.getInputStream().read(buffer)) {
                    received.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
                }
            } catch (IOException reset) {
                received.append("(reset)");
            }
            return received.toString();
        });
    }

    private List<String> ends(String id) throws IOException {
        return Files.readAllLines(directory.resolve("entry-0.log")).stream()
                .filter(line -> line.contains("\"id\":\"" + id + "\"")
                        && END.matcher(line).find())
                .toList();
    }

    /** Guards against a process that exits with requests which got neither an answer nor a line in its log. */
    @Test
    void eachRequestThatIsOpenAtTheExitGetsAnAnswerOrIsCutOffWithOneLine() throws Exception {
        try (FakePlatform platform = new FakePlatform()) {
            platform.addTarget("engine", "engines").generate(LONG_STREAM);
            platform.addTarget("books", "plain").generate(LATE_EVENT);
            try (EntryProcesses entries = new EntryProcesses(platform, 1, directory)) {
                Thread.sleep(START_TIME.toMillis());
                entries.awaitReady();
                EntryProcesses.Entry entry = entries.entries().get(0);
                try (Socket stream = connect(entry.address());
                        Socket booking = connect(entry.address());
                        Socket arriving = connect(entry.address())) {
                    stream.getOutputStream().write(request("/chat/x", "stream"));
                    booking.getOutputStream().write(request("/book/x", "booking"));
                    byte[] late = request("/book/x", "arriving");
                    arriving.getOutputStream().write(late, 0, late.length / 2);
                    CompletableFuture<String> streamed = readAll(stream);
                    CompletableFuture<String> booked = readAll(booking);
                    Thread.sleep(RUNNING_TIME.toMillis());
                    entry.signal("TERM");
                    Thread.sleep(PAUSE_WITHIN_REQUEST.toMillis());
                    arriving.getOutputStream().write(late, late.length / 2, late.length - late.length / 2);
                    String arrived = readAll(arriving).get(SOCKET_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                    entry.awaitExit();
                    assertThat(streamed.join()).startsWith("HTTP/1.1 200").doesNotEndWith("0\r\n\r\n");
                    assertThat(booked.join()).startsWith("HTTP/1.1 502");
                    assertThat(arrived).startsWith("HTTP/1.1 503");
                }
            }
            assertThat(ends("stream")).singleElement().asString().contains("ANSWER_INTERRUPTED");
            assertThat(ends("booking")).singleElement().asString().contains("\"event\":4003");
            assertThat(ends("arriving")).singleElement().asString().contains("\"event\":4001");
            assertThat(Files.readString(directory.resolve("entry-0.log")))
                    .containsPattern("\"name\":\"DRAINED\",\"id\":\"entry-0\",\"open\":0");
        }
    }

    /** Guards against requests sent ahead, and long bodies half read, that a signal to end leaves without one outcome and one line. */
    @Test
    void requestsSentAheadAndBodiesHalfReadAtTheSignalEndOnce() throws Exception {
        try (FakePlatform platform = new FakePlatform()) {
            platform.addTarget("books", "plain").generate(LATE_EVENT);
            try (EntryProcesses entries = new EntryProcesses(platform, 1, directory)) {
                Thread.sleep(START_TIME.toMillis());
                entries.awaitReady();
                EntryProcesses.Entry entry = entries.entries().get(0);
                try (Socket ahead = connect(entry.address());
                        Socket resumed = connect(entry.address());
                        Socket stalled = connect(entry.address())) {
                    ahead.getOutputStream().write(request("/book/x", "first"));
                    Thread.sleep(PAUSE_WITHIN_REQUEST.toMillis());
                    ahead.getOutputStream().write(request("/book/x", "second"));
                    byte[] body = longRequest("resumed");
                    resumed.getOutputStream().write(body, 0, body.length / 2);
                    stalled.getOutputStream().write(longRequest("stalled"), 0, body.length / 2);
                    Thread.sleep(RUNNING_TIME.toMillis());
                    entry.signal("TERM");
                    Thread.sleep(RUNNING_TIME.toMillis());
                    resumed.getOutputStream().write(body, body.length / 2, body.length - body.length / 2);
                    CompletableFuture<String> aheadAnswer = readAll(ahead);
                    CompletableFuture<String> resumedAnswer = readAll(resumed);
                    entry.awaitExit();
                    assertThat(aheadAnswer.join().split("HTTP/1.1 ", -1)).hasSize(2);
                    assertThat(resumedAnswer.join()).startsWith("HTTP/1.1 503");
                }
            }
            assertThat(ends("first")).singleElement().asString().contains("\"event\":4003");
            assertThat(ends("second")).isEmpty();
            assertThat(Files.readAllLines(directory.resolve("entry-0.log")))
                    .filteredOn(line -> line.contains("\"event\":4026"))
                    .satisfiesExactlyInAnyOrder(
                            line -> assertThat(line).contains("\"cause\":\"ANSWER\""),
                            line -> assertThat(line).contains("\"cause\":\"EXIT\"", "\"id\":\"stalled\""));
            assertThat(ends("resumed")).singleElement().asString().contains("\"event\":4001");
            assertThat(ends("stalled")).singleElement().asString().contains("\"cause\":\"EXIT\"");
        }
    }

    private static byte[] longRequest(String id) {
        String head = new String(request("/book/x", id), StandardCharsets.US_ASCII)
                .replace("Content-Length: 2\r\n", "Content-Length: " + LONG_BODY_BYTES + "\r\n");
        return (head + "x".repeat(LONG_BODY_BYTES - 2)).getBytes(StandardCharsets.US_ASCII);
    }
}
