package org.geraniumreach.standalone;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import com.sun.net.httpserver.HttpServer;
import org.geraniumreach.ports.PlatformException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
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
        HttpTransport transport = new HttpTransport(
                URI.create("http://" + InetAddress.getLoopbackAddress().getHostAddress() + ":"
                        + server.getAddress().getPort()),
                Duration.ofSeconds(10),
                MAXIMUM_ANSWER_BYTES,
                Runnable::run);
        PlatformException failure = catchThrowableOfType(
                PlatformException.class,
                () -> transport.call(transport.request("/x").build()));
        assertThat(failure.effect()).isEqualTo(PlatformException.Effect.NONE);
        assertThat(failure.retryAfter())
                .isEqualTo(seconds == 0 ? Optional.empty() : Optional.of(Duration.ofSeconds(seconds)));
    }
}
