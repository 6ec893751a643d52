package org.geraniumreach.standins.load;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.load.LoadSettings.Mode;
import org.geraniumreach.standins.load.PlannedRequest.Kind;

/**
 * Creates HTTP requests for entries and stand-in engines.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class HttpRequestFactory {

    private static final Duration TIMEOUT = Duration.ofSeconds(120);

    private final LoadSettings settings;

    HttpRequestFactory(LoadSettings settings) {
        this.settings = settings;
    }

    HttpRequest create(PlannedRequest request) {
        if (request.isBooking()) {
            return booking(request);
        }
        return settings.mode() == Mode.ENGINE ? forEngine(request) : forEntry(request);
    }

    private HttpRequest booking(PlannedRequest request) {
        LoadSettings.BookedService service = settings.service();
        String path = "/v1/services/" + service.name() + "/" + service.operation();
        return post(request, path, request.text())
                .header("Idempotency-Key", request.idempotencyKey())
                .build();
    }

    private static HttpRequest forEntry(PlannedRequest request) {
        ObjectNode body = Call.JSON
                .createObjectNode()
                .put("model", request.adapter().toString())
                .put("max_tokens", request.account().maximumTokens())
                .put("stream", request.streamed());
        if (request.kind() == Kind.CHAT) {
            body.putArray("messages").addObject().put("role", "user").put("content", request.text());
            return post(request, "/v1/chat/completions", body.toString()).build();
        }
        body.put("prompt", request.text());
        return post(request, "/v1/completions", body.toString()).build();
    }

    private static HttpRequest forEngine(PlannedRequest request) {
        ObjectNode body = Call.JSON
                .createObjectNode()
                .put("attempt", "load-" + request.number())
                .put("account", request.account().name())
                .put("adapter", request.adapter().adapter())
                .put("version", request.adapter().version())
                .put("prompt", request.promptAtEngine())
                .put("maximumTokens", request.account().maximumTokens())
                .put("priority", 5)
                .put("fence", 0);
        return post(request, "/v1/streams", body.toString()).build();
    }

    private static HttpRequest.Builder post(PlannedRequest request, String path, String body) {
        URI uri = request.entry().resolve(path);
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri)
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofString(body));
        if (!request.account().key().isEmpty()) {
            builder.header("Authorization", "Bearer " + request.account().key());
        }
        return builder;
    }
}
