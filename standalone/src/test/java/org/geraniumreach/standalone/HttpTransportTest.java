package org.geraniumreach.standalone;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import com.sun.net.httpserver.HttpServer;
import org.assertj.core.api.SoftAssertions;
import org.geraniumreach.ports.PlatformException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class HttpTransportTest {

    private static final byte[] NO_EFFECT = "{\"effect\":\"none\"}".getBytes(StandardCharsets.UTF_8);
    private static final int MAXIMUM_ANSWER_BYTES = 1_000;

    private HttpServer server;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop(0);
    }

    // Guards against losing the time for which a server that refuses a call wants no others.
    @ParameterizedTest
    @CsvSource({"503, 3, 3", "503, soon, 0", "503, -1, 0", "429, 3, 0"})
    void theRestThatAnUnavailableServerAsksForIsReported(int status, String retryAfter, long seconds) {
        server.createContext("/", exchange -> {
            exchange.getResponseHeaders().set("Retry-After", retryAfter);
            exchange.sendResponseHeaders(status, NO_EFFECT.length);
            exchange.getResponseBody().write(NO_EFFECT);
            exchange.close();
        });
        HttpTransport transport = transport(server.getAddress().getPort());
        PlatformException failure = catchThrowableOfType(
                PlatformException.class,
                () -> transport.call(transport.request("/x").build()));
        assertThat(failure.effect()).isEqualTo(PlatformException.Effect.NONE);
        assertThat(failure.retryAfter())
                .isEqualTo(seconds == 0 ? Optional.empty() : Optional.of(Duration.ofSeconds(seconds)));
    }

    // Guards against an answer without a status of HTTP that is believed to say that a call had no effect.
    @Test
    void whatAnAnswerWithoutAStatusOfHttpSaysIsNotBelieved() throws Exception {
        try (ServerSocket odd = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            AtomicReference<String> status = new AtomicReference<>();
            Thread answers = new Thread(() -> answerEach(odd, status));
            answers.start();
            HttpTransport transport = transport(odd.getLocalPort());
            SoftAssertions softly = new SoftAssertions();
            for (int number = 0; number <= 999; number = nextStatus(number)) {
                status.set(String.format(Locale.ROOT, "%03d", number));
                PlatformException failure = catchThrowableOfType(
                        PlatformException.class,
                        () -> transport.call(transport.request("/x").build()));
                softly.assertThat(failure.effect())
                        .as(status.get())
                        .isEqualTo(
                                number >= 400 && number < 600
                                        ? PlatformException.Effect.NONE
                                        : PlatformException.Effect.UNKNOWN);
            }
            softly.assertAll();
        }
    }

    /** Leaves out what is no failure: the status of a success, and interim ones, after which an answer is awaited. */
    private static int nextStatus(int status) {
        return status == 99 ? 400 : status + 1;
    }

    private static void answerEach(ServerSocket server, AtomicReference<String> status) {
        try {
            while (true) {
                try (Socket client = server.accept()) {
                    StringBuilder head = new StringBuilder();
                    while (!head.toString().endsWith("\r\n\r\n")) {
                        head.append((char) client.getInputStream().read());
                    }
                    client.getOutputStream()
                            .write(("HTTP/1.1 " + status.get() + " Odd\r\nConnection: close\r\nContent-Length: "
                                            + NO_EFFECT.length + "\r\n\r\n"
                                            + new String(NO_EFFECT, StandardCharsets.UTF_8))
                                    .getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private static HttpTransport transport(int port) {
        return new HttpTransport(
                URI.create("http://" + InetAddress.getLoopbackAddress().getHostAddress() + ":" + port),
                Duration.ofSeconds(10),
                MAXIMUM_ANSWER_BYTES,
                Runnable::run);
    }
}
