package org.geraniumreach.integration;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.standins.answer.ExpectedAnswer;

/** Client that relies only on the OpenAI API conventions. Immutable and thread-safe. */
final class Caller {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA_PREFIX = "data: ";

    private final int port;
    private final String key;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    Caller(int port, String key) {
        this.port = port;
        this.key = key;
    }

    /**
     * The outcome of a call.
     *
     * @param status the HTTP status, or 0 if the connection broke
     * @param body the body of a complete response or error
     * @param text the text of a generation as far as it was received
     * @param finished whether the response was received to its end
     * @param errorCode the result code of the error, or 0 if there was none
     * @param executionStatus whether the request ran according to the error: yes, no or unknown
     */
    record Reply(int status, String body, String text, boolean finished, int errorCode, String executionStatus) {

        /** Returns whether the error says when to retry. */
        boolean hasRetryDelay() {
            return body.contains("retry_after_ms");
        }
    }

    /** A stream that is being read; {@code started} is released by its first event. */
    record OpenStream(CompletableFuture<Reply> reply, CountDownLatch started) {}

    Reply book(String idempotencyKey, String body) throws InterruptedException {
        HttpRequest request = requestBuilder("/v1/services/cards/book", body)
                .header("Idempotency-Key", idempotencyKey)
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return parseReply(response.statusCode(), response.body());
        } catch (IOException disconnected) {
            return new Reply(0, "", "", false, 0, "unknown");
        }
    }

    Reply complete(String model, String prompt, int tokens) throws InterruptedException {
        try {
            HttpResponse<String> response = client.send(
                    requestBuilder("/v1/completions", completionBody(model, prompt, tokens, false))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            Reply reply = parseReply(response.statusCode(), response.body());
            String text = parseJson(response.body())
                    .path("choices")
                    .path(0)
                    .path("text")
                    .asText();
            return new Reply(
                    reply.status(),
                    reply.body(),
                    text,
                    reply.status() == 200,
                    reply.errorCode(),
                    reply.executionStatus());
        } catch (IOException disconnected) {
            return new Reply(0, "", "", false, 0, "unknown");
        }
    }

    OpenStream stream(String model, String prompt, int tokens) {
        CountDownLatch started = new CountDownLatch(1);
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        Thread reader = new Thread(() -> reply.complete(readStream(model, prompt, tokens, started)), "caller");
        reader.setDaemon(true);
        reader.start();
        return new OpenStream(reply, started);
    }

    private Reply readStream(String model, String prompt, int tokens, CountDownLatch started) {
        StringBuilder text = new StringBuilder();
        try {
            HttpResponse<InputStream> response = client.send(
                    requestBuilder("/v1/completions", completionBody(model, prompt, tokens, true))
                            .build(),
                    HttpResponse.BodyHandlers.ofInputStream());
            if (response.statusCode() != 200) {
                return parseReply(
                        response.statusCode(), new String(response.body().readAllBytes(), StandardCharsets.UTF_8));
            }
            return readEvents(response.body(), text, started);
        } catch (IOException disconnected) {
            return new Reply(0, "", text.toString(), false, 0, "unknown");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new Reply(0, "", text.toString(), false, 0, "unknown");
        }
    }

    private static Reply readEvents(InputStream input, StringBuilder text, CountDownLatch started) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (!line.startsWith(DATA_PREFIX)) {
                continue;
            }
            String data = line.substring(DATA_PREFIX.length());
            if (data.equals("[DONE]")) {
                return new Reply(200, "", text.toString(), true, 0, "yes");
            }
            JsonNode event = parseJson(data);
            if (event.has("error")) {
                Reply error = parseReply(200, data);
                return new Reply(200, data, text.toString(), false, error.errorCode(), error.executionStatus());
            }
            text.append(event.path("choices").path(0).path("text").asText());
            started.countDown();
        }
        return new Reply(200, "", text.toString(), false, 0, "unknown");
    }

    /** Returns the text that a version of an adapter must generate. */
    static String expectedText(String model, String prompt, int tokens) {
        return expectedAnswer(model, prompt).text(tokens);
    }

    /** Finds a prompt whose answer does not end before the token limit. */
    static String findPrompt(String model, int tokens) {
        for (int number = 0; ; number++) {
            String prompt = "Summarise fault note " + number;
            if (expectedAnswer(model, prompt).length(tokens) == tokens) {
                return prompt;
            }
        }
    }

    private static ExpectedAnswer expectedAnswer(String model, String prompt) {
        return ExpectedAnswer.of(AdapterReference.parse(model).orElseThrow(), prompt);
    }

    private static String completionBody(String model, String prompt, int tokens, boolean streamed) {
        return MAPPER.createObjectNode()
                .put("model", model)
                .put("prompt", prompt)
                .put("max_tokens", tokens)
                .put("stream", streamed)
                .toString();
    }

    private HttpRequest.Builder requestBuilder(String path, String body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(REQUEST_TIMEOUT)
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private static Reply parseReply(int status, String body) throws IOException {
        JsonNode error = parseJson(body).path("error");
        return new Reply(
                status,
                body,
                "",
                status == 200,
                error.path("code").asInt(),
                error.path("ran").asText("yes"));
    }

    private static JsonNode parseJson(String body) throws IOException {
        JsonNode node = MAPPER.readTree(body);
        return node == null ? MAPPER.missingNode() : node;
    }
}
