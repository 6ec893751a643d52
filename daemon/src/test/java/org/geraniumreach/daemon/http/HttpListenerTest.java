package org.geraniumreach.daemon.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.daemon.settings.SettingsReader;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class HttpListenerTest {

    private static final int TIMEOUT_MILLIS = 30_000;
    private static final int REQUESTS_SENT_AHEAD = 9;
    private static final int SLOW_CALLERS = 4;
    private static final int BYTES_BEYOND_ALL_BUFFERS = 32 * 1024 * 1024;
    private static final int EVENT_BYTES = 1024 * 1024;
    private static final int PAUSE_MILLIS = 500;
    private static final int LONGEST_DELAY_MILLIS = 5_000;

    private final CountDownLatch callerGone = new CountDownLatch(1);
    private HttpListener listener;

    @BeforeEach
    void start() throws Exception {
        HttpLimits limits = SettingsReader.read(HttpLimits.class, "{body: 2KiB, headers: 4KiB, workers: 2}");
        Routes routes = Routes.none()
                .plus("POST", "/echo/{word}", call -> call.reply(200, "text/plain", call.body()))
                .plus("POST", "/json", call -> call.reply(200, call.json()))
                .plus("GET", "/fault", call -> {
                    throw new IllegalStateException("inside");
                })
                .plus("GET", "/refused", call -> {
                    throw ServingException.notRun(ResultCode.KEY_REFUSED, "no");
                })
                .plus("GET", "/later/{word}", call -> {
                    call.onCallerGone(callerGone::countDown);
                    String word = call.parameter(0);
                    CompletableFuture.delayedExecutor(word.length() * 50L, TimeUnit.MILLISECONDS)
                            .execute(() -> call.reply(200, "text/plain", word.getBytes(StandardCharsets.UTF_8)));
                })
                .plus("GET", "/large", call -> call.reply(200, "text/plain", new byte[BYTES_BEYOND_ALL_BUFFERS]))
                .plus("GET", "/stream", call -> {
                    EventStream stream = call.stream().orElseThrow();
                    boolean open = true;
                    for (int event = 0; open && event < BYTES_BEYOND_ALL_BUFFERS / EVENT_BYTES; event++) {
                        open = stream.writeEvent(new byte[EVENT_BYTES]);
                    }
                    stream.end();
                })
                .plus("GET", "/forever", call -> {
                    call.onCallerGone(callerGone::countDown);
                    call.stream().orElseThrow().writeEvent("1".getBytes(StandardCharsets.UTF_8));
                });
        listener = HttpListener.start(
                "test",
                limits,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                routes,
                ForkJoinPool.commonPool());
    }

    @AfterEach
    void stop() {
        listener.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[1]", "null", "{\"a\":1}x", "\u0000", "{\"a\":1,}"})
    void aBodyThatIsNotAJsonObjectIsRefused(String body) throws IOException {
        String answer = exchange(post("/json", body));
        assertThat(answer).startsWith("HTTP/1.1 400").contains("\"code\":100").contains("\"ran\":\"no\"");
    }

    @Test
    void aBodyIsReadIfTheCallerOffersAnHttp2Upgrade() throws Exception {
        // The JDK's client offers an HTTP/2 upgrade with each request. A server that reacts to the offer takes the body
        // for bytes of that protocol, and the POST hangs until its timeout.
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + listener.address().getPort() + "/echo/x"))
                .timeout(Duration.ofMillis(TIMEOUT_MILLIS))
                .POST(HttpRequest.BodyPublishers.ofString("hello"))
                .build();
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
        for (int call = 0; call < 2; call++) {
            HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
            assertThat(answer.body()).isEqualTo("hello");
        }
    }

    @Test
    void aBodyAboveTheLimitIsRefusedByItsDeclaredLength() throws IOException {
        String answer = exchange(post("/json", " ".repeat(3_000)));
        assertThat(answer).startsWith("HTTP/1.1 413").contains("\"code\":101");
    }

    @Test
    void aChunkedBodyAboveTheLimitIsRefused() throws IOException {
        String chunk = "400\r\n" + "a".repeat(0x400) + "\r\n";
        String answer = exchange(
                "POST /json HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.repeat(3) + "0\r\n\r\n");
        assertThat(answer).startsWith("HTTP/1.1 413").contains("\"code\":101");
    }

    @Test
    void aHeaderBlockAboveTheLimitIsRefused() throws IOException {
        String answer = exchange("GET /refused HTTP/1.1\r\nHost: a\r\nX-Long: " + "a".repeat(9_000) + "\r\n\r\n");
        assertThat(answer).startsWith("HTTP/1.1 4").doesNotContain("Exception");
    }

    @Test
    void anUnknownPathIsRefused() throws IOException {
        assertThat(exchange("GET /other HTTP/1.1\r\nHost: a\r\n\r\n"))
                .startsWith("HTTP/1.1 404")
                .contains("\"code\":103");
    }

    @Test
    void anInternalErrorDoesNotExposeTheExceptionMessage() throws IOException {
        assertThat(exchange("GET /fault HTTP/1.1\r\nHost: a\r\n\r\n"))
                .startsWith("HTTP/1.1 500")
                .contains("\"code\":900")
                .doesNotContain("inside");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n\r\n",
                "GET\r\n\r\n",
                "\u0001\u0002\r\n\r\n",
                "GET / HTTP/9.9\r\n\r\n",
                "POST /json HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n"
            })
    void malformedHttpDoesNotStopTheListener(String bytes) throws IOException {
        exchange(bytes);
        assertThat(exchange(post("/echo/a", "still here"))).endsWith("still here");
    }

    @Test
    void anEndpointIsNotifiedWhenTheCallerDisconnects() throws Exception {
        // The caller opens a stream, reads the first event and closes the connection. The endpoint must be notified,
        // because otherwise the work for the stream would run to its end without a reader.
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write("GET /forever HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(socket.getInputStream().read()).isPositive();
        }
        assertThat(callerGone.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        // The caller pipelines two requests, and the first takes longer to answer. Callers match pipelined responses by
        // order alone, so a response sent out of order would be assigned to the wrong request.
        String request = "GET /later/%s HTTP/1.1\r\nHost: a\r\n%s\r\n";
        String answers =
                exchange(false, request.formatted("longest", "") + request.formatted("x", "Connection: close\r\n"));
        assertThat(answers.indexOf("longest")).isPositive();
        assertThat(answers.lastIndexOf("\r\n\r\nx")).isGreaterThan(answers.indexOf("longest"));
    }

    private static String post(String path, String body) {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + length + "\r\n\r\n"
                + body;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(listener.address(), TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Guards against a caller that does not read its answer and delays all others of the thread that reads its calls. */
    @ParameterizedTest
    @ValueSource(strings = {"/large", "/stream"})
    void aCallerThatDoesNotReadItsAnswerDelaysNoOther(String path) throws Exception {
        List<Socket> slow = new ArrayList<>();
        try {
            for (int caller = 0; caller < SLOW_CALLERS; caller++) {
                Socket socket = connect();
                slow.add(socket);
                socket.getOutputStream()
                        .write(("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            Thread.sleep(PAUSE_MILLIS);
            for (int call = 0; call < SLOW_CALLERS; call++) {
                try (Socket socket = connect()) {
                    socket.setSoTimeout(LONGEST_DELAY_MILLIS);
                    socket.getOutputStream().write(post("/echo/a", "quick").getBytes(StandardCharsets.US_ASCII));
                    assertThat(readAll(socket.getInputStream())).endsWith("quick");
                }
            }
        } finally {
            for (Socket socket : slow) {
                socket.close();
            }
        }
    }

    /** Guards against requests sent ahead that are read with another body, answered in another order, or not answered. */
    @ParameterizedTest
    @CsvSource({"4096, 0", "40, 0", "40, 3", "7, 1", "300, 5"})
    void requestsSentAheadAreAnsweredInOrder(int pieceBytes, int pauseMillis) throws Exception {
        StringBuilder requests = new StringBuilder();
        for (int number = 0; number < REQUESTS_SENT_AHEAD; number++) {
            String body = "body of " + number;
            requests.append(
                    switch (number % 3) {
                        case 0 -> "GET /later/a" + number + " HTTP/1.1\r\nHost: a\r\n\r\n";
                        case 1 -> post("/echo/a", body).replace("Connection: close\r\n", "");
                        default -> "POST /echo/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"
                                + body.substring(0, 4) + "\r\n" + (body.length() - 4) + "\r\n" + body.substring(4)
                                + "\r\n0\r\n\r\n";
                    });
        }
        try (Socket socket = connect()) {
            byte[] bytes = requests.toString().getBytes(StandardCharsets.US_ASCII);
            CompletableFuture<Void> sent =
                    CompletableFuture.runAsync(() -> send(socket, bytes, pieceBytes, pauseMillis));
            InputStream input = socket.getInputStream();
            StringBuilder answers = new StringBuilder();
            for (int number = 0; number < REQUESTS_SENT_AHEAD; number++) {
                String expected = number % 3 == 0 ? "a" + number : "body of " + number;
                while (!answers.toString().endsWith("\r\n\r\n" + expected)) {
                    int next = input.read();
                    assertThat(next).as("closed after: " + answers).isNotNegative();
                    answers.append((char) next);
                }
                answers.setLength(0);
            }
            sent.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards against a body that is taken for a request, since its length stands under another name or its method has none. */
    @ParameterizedTest
    @ValueSource(strings = {"TRACE / HTTP/1.1\r\nContent-Length:", "POST /echo/a HTTP/1.1\r\nContent-Length :"})
    void aBodyIsNeverTakenForARequest(String head) throws IOException {
        String inner = post("/echo/a", "inner");
        String answers = exchange(false, head + " " + inner.length() + "\r\nHost: a\r\n\r\n" + inner);
        assertThat(answers).startsWith("HTTP/1.1 400").doesNotContain("inner");
    }

    private static void send(Socket socket, byte[] bytes, int pieceBytes, int pauseMillis) {
        try {
            for (int at = 0; at < bytes.length; at += pieceBytes) {
                socket.getOutputStream().write(bytes, at, Math.min(pieceBytes, bytes.length - at));
                Thread.sleep(pauseMillis);
            }
        } catch (IOException | InterruptedException failed) {
            throw new IllegalStateException(failed);
        }
    }

    private String exchange(String request) throws IOException {
        return exchange(true, request);
    }

    private String exchange(boolean endOutput, String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            if (endOutput) {
                socket.shutdownOutput();
            }
            return readAll(socket.getInputStream());
        }
    }

    private static String readAll(InputStream input) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        try {
            input.transferTo(content);
        } catch (SocketException reset) {
            // A server that refuses a request before reading it completely may reset the connection after its response.
            return content.toString(StandardCharsets.UTF_8);
        }
        return content.toString(StandardCharsets.UTF_8);
    }
}
