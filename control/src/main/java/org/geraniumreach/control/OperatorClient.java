package org.geraniumreach.control;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.record.RecordKey;

/**
 * HTTP client for the operator ports of entries, which fails over from one entry to the next.
 *
 * <p>Invariant: every entry is sent the same operation id, and a change takes effect at most once per operation id, so
 * retrying after a lost response cannot apply the change twice. Thread-safe.
 */
final class OperatorClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);
    private static final Set<ResultCode> FAILOVER_CODES = Set.of(
            ResultCode.ENTRY_UNREACHABLE,
            ResultCode.DRAINING,
            ResultCode.STORE_UNAVAILABLE,
            ResultCode.SUBMISSION_UNSETTLED,
            ResultCode.OVERLOADED);

    private final List<String> entries;
    private final Optional<String> credential;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

    OperatorClient(List<String> entries, Optional<String> credential) {
        this.entries = List.copyOf(entries);
        this.credential = credential;
    }

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    ObjectNode submit(String operation, long basedOn, RecordDocument document) throws ControlException {
        ObjectNode request = changeRequest(operation, basedOn, document.key());
        request.set("record", document.record());
        return call("POST", "/operator/v1/submit", Optional.of(request));
    }

    ObjectNode withdraw(String operation, long basedOn, RecordKey key) throws ControlException {
        return call("POST", "/operator/v1/withdraw", Optional.of(changeRequest(operation, basedOn, key)));
    }

    private static ObjectNode changeRequest(String operation, long basedOn, RecordKey key) {
        return newObject()
                .put("operation", operation)
                .put("basedOn", basedOn)
                .put("kind", key.kind().label())
                .put("name", key.name());
    }

    ObjectNode validate(List<RecordDocument> documents) throws ControlException {
        ObjectNode request = newObject();
        for (RecordDocument document : documents) {
            ObjectNode record = request.withArray("records").addObject();
            record.put("kind", document.key().kind().label())
                    .put("name", document.key().name());
            record.set("record", document.record());
        }
        return call("POST", "/operator/v1/validate", Optional.of(request));
    }

    ObjectNode list(String kind) throws ControlException {
        return call("GET", "/operator/v1/records/" + encode(kind), Optional.empty());
    }

    ObjectNode show(RecordKey key) throws ControlException {
        return call("GET", "/operator/v1/records/" + key.kind().label() + "/" + encode(key.name()), Optional.empty());
    }

    ObjectNode history(Optional<RecordKey> key) throws ControlException {
        String query = key.map(recordKey -> "?kind=" + recordKey.kind().label() + "&name=" + encode(recordKey.name()))
                .orElse("");
        return call("GET", "/operator/v1/history" + query, Optional.empty());
    }

    ObjectNode status() throws ControlException {
        return call("GET", "/operator/v1/status", Optional.empty());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private ObjectNode call(String method, String path, Optional<ObjectNode> body) throws ControlException {
        ControlException lastFailure = ControlException.usage("no entry is given");
        boolean unsettled = false;
        for (String entry : entries) {
            try {
                return call(entry, method, path, body);
            } catch (ControlException failure) {
                if (!FAILOVER_CODES.contains(failure.code())) {
                    throw failure;
                }
                unsettled |= failure.exitCode() == ExitCode.UNSETTLED;
                lastFailure = failure;
            }
        }
        /* An entry whose response was lost may have made the change, even if the next entry is unreachable. */
        if (unsettled && lastFailure.exitCode() != ExitCode.UNSETTLED) {
            throw ControlException.of(ResultCode.SUBMISSION_UNSETTLED, lastFailure.getMessage());
        }
        throw lastFailure;
    }

    private ObjectNode call(String entry, String method, String path, Optional<ObjectNode> body)
            throws ControlException {
        HttpResponse<String> response = send(entry, request(entry, method, path, body), body.isPresent());
        ObjectNode answer = parse(entry, response.body());
        JsonNode error = answer.path("error");
        if (!error.isObject()) {
            return answer;
        }
        ResultCode code = ResultCode.ofNumber(error.path("code").asInt(-1)).orElse(ResultCode.INTERNAL_ERROR);
        throw ControlException.fromResponse(code, error.path("message").asText(code.meaning()), answer);
    }

    private HttpRequest request(String entry, String method, String path, Optional<ObjectNode> body)
            throws ControlException {
        try {
            HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + entry + path))
                    .timeout(RESPONSE_TIMEOUT)
                    .header("Content-Type", "application/json")
                    .method(
                            method,
                            body.map(json -> HttpRequest.BodyPublishers.ofString(json.toString()))
                                    .orElse(HttpRequest.BodyPublishers.noBody()));
            credential.ifPresent(secret -> builder.header("Authorization", "Bearer " + secret));
            return builder.build();
        } catch (IllegalArgumentException invalid) {
            throw ControlException.usage("not an entry's HOST:PORT: '" + entry + "'");
        }
    }

    private HttpResponse<String> send(String entry, HttpRequest request, boolean changesRecords)
            throws ControlException {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (ConnectException | HttpConnectTimeoutException unreachable) {
            throw ControlException.unreachable("entry " + entry + " cannot be reached");
        } catch (IOException lost) {
            String message = "entry " + entry + " did not answer: " + lost.getMessage();
            throw changesRecords
                    ? ControlException.of(ResultCode.SUBMISSION_UNSETTLED, message)
                    : ControlException.unreachable(message);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw ControlException.of(ResultCode.SUBMISSION_UNSETTLED, "interrupted");
        }
    }

    private static ObjectNode parse(String entry, String body) throws ControlException {
        try {
            if (MAPPER.readTree(body) instanceof ObjectNode answer) {
                return answer;
            }
        } catch (JsonProcessingException malformed) {
            throw notAnOperatorPort(entry);
        }
        throw notAnOperatorPort(entry);
    }

    private static ControlException notAnOperatorPort(String entry) {
        return ControlException.of(ResultCode.INTERNAL_ERROR, entry + " is not an operators' port");
    }
}
