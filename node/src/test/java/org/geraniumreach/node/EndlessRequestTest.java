package org.geraniumreach.node;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Closes connections on which a caller sends bytes that do not end. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EndlessRequestTest {

    private static final int PIECE_BYTES = 16_384;
    private static final long LONGEST_MILLIS = 2_000;
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(3);

    private final AtomicInteger requests = new AtomicInteger();
    private FakePlatform platform;
    private FakeFleet fleet;

    @BeforeAll
    void start() throws Exception {
        platform = new FakePlatform();
        platform.addTarget("one", "plain");
        fleet = new FakeFleet(platform, 1);
        fleet.awaitReady("/look/x");
    }

    @AfterAll
    void close() {
        platform.close();
    }

    /** Guards against a connection that is read for ever, since a caller's request does not end. */
    @ParameterizedTest
    @CsvSource({
        "'POST /look/', x",
        "'POST /look/x HTTP/1.1\r\nX-Long: ', x",
        "'POST /look/x HTTP/1.1\r\n', 'X-Line: x\r\n'",
        "'', '\r\n'",
        "'POST /look/x HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n1;', x",
        "'POST /look/x HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n', 'X-Line: x\r\n'",
        "'POST /look/x HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n', '5\r\n12345\r\n'",
        "'POST /look/x HTTP/1.1\r\n%sContent-Length: 999999999999\r\n\r\n', x",
        "'POST /look/x HTTP/1.1\r\n%sContent-Length: 2\r\n\r\nhi', x",
        "'not a request at all\r\n', x"
    })
    void aConnectionOnWhichACallerSendsWithoutEndIsClosed(String beginning, String repeated) throws Exception {
        String headers = "Host: 127.0.0.1\r\nX-Attempt-Id: e1\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer "
                + FakePlatform.KEY + "\r\n";
        try (Socket socket =
                new Socket(fleet.address(0).getAddress(), fleet.address(0).getPort())) {
            OutputStream out = socket.getOutputStream();
            out.write(String.format(beginning, headers).getBytes(StandardCharsets.US_ASCII));
            assertThat(millisUntilClosed(out, repeated)).isLessThan(LONGEST_MILLIS);
        }
        HttpResponse<String> answer = HttpClient.newHttpClient()
                .send(
                        CallerRequests.post(
                                        fleet.address(0),
                                        "/look/x",
                                        "after-" + requests.incrementAndGet(),
                                        CALLER_TIMEOUT,
                                        "hi",
                                        "base")
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertThat(answer.statusCode()).isEqualTo(200);
    }

    private static long millisUntilClosed(OutputStream out, String repeated) throws InterruptedException {
        byte[] piece = repeated.repeat(PIECE_BYTES / repeated.length()).getBytes(StandardCharsets.US_ASCII);
        long begunAt = System.nanoTime();
        try {
            while (System.nanoTime() - begunAt < 2 * TimeUnit.MILLISECONDS.toNanos(LONGEST_MILLIS)) {
                out.write(piece);
                out.flush();
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (IOException closed) {
            // The entry has closed the connection.
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAt);
    }
}
