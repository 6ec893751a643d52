package org.geraniumreach.standalone;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.ports.PlatformException.Reason;

/**
 * Sends requests to one HTTP server with a time limit for each, over a connection pool that is replaced after any
 * failure.
 *
 * <p>A device between two ends can drop the state of open connections: calls on them never get an answer, while new
 * connections work. If only the failed connection were dropped, as many calls would fail as the pool has connections.
 * So a call that fails or times out discards the whole pool; calls in progress on it continue, and the next call opens
 * a new connection.
 *
 * <p>Invariant: only the first failure on a pool replaces it. Safe for use by several threads.
 */
final class HttpTransport {

    static final ObjectMapper JSON = new ObjectMapper();

    private static final String KEEP_ALIVE_PROPERTY = "jdk.httpclient.keepalive.timeout";
    private static final String KEEP_ALIVE_SECONDS = "10";
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(1);
    private static final int STATUS_OK = 200;
    private static final int STATUS_CLIENT_ERROR = 400;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;

    /** The lowest number that is no status; the library itself refuses those below 100. */
    private static final int STATUS_END = 600;

    private static final long MAXIMUM_RETRY_AFTER_SECONDS = 3_600;

    static {
        // Servers close idle connections. A call sent while the server closes its connection has an unknown outcome,
        // although it never ran. Closing idle connections before the servers do avoids this.
        if (System.getProperty(KEEP_ALIVE_PROPERTY) == null) {
            System.setProperty(KEEP_ALIVE_PROPERTY, KEEP_ALIVE_SECONDS);
        }
    }

    private final URI base;
    private final Duration limit;
    private final int maximumAnswerBytes;
    private final Executor executor;
    private volatile HttpClient client;

    HttpTransport(URI base, Duration limit, int maximumAnswerBytes, Executor executor) {
        this.base = base;
        this.limit = limit;
        this.maximumAnswerBytes = maximumAnswerBytes;
        this.executor = executor;
        this.client = createClient();
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(base.resolve(path));
    }

    HttpRequest post(String path, JsonNode body) {
        return request(path)
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofString(body.toString()))
                .build();
    }

    JsonNode callForJson(HttpRequest request) throws PlatformException {
        byte[] body = call(request);
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new PlatformException(
                    Effect.UNKNOWN, Reason.BAD_ANSWER, "answer is not JSON: " + describe(request), e);
        }
    }

    byte[] call(HttpRequest request) throws PlatformException {
        HttpClient pool = client;
        CompletableFuture<HttpResponse<byte[]>> future =
                pool.sendAsync(request, response -> new LimitedBodySubscriber(maximumAnswerBytes));
        HttpResponse<byte[]> response = await(request, pool, future);
        if (response.statusCode() != STATUS_OK) {
            throw errorAnswer(request, response);
        }
        return response.body();
    }

    private HttpResponse<byte[]> await(
            HttpRequest request, HttpClient pool, CompletableFuture<HttpResponse<byte[]>> future)
            throws PlatformException {
        try {
            return future.get(limit.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            future.cancel(true);
            discard(pool);
            throw new PlatformException(
                    Effect.UNKNOWN,
                    Reason.NO_ANSWER,
                    "no answer in " + limit.toMillis() + " ms: " + describe(request),
                    e);
        } catch (InterruptedException e) {
            future.cancel(true);
            Thread.currentThread().interrupt();
            throw new PlatformException(Effect.UNKNOWN, Reason.NO_ANSWER, "interrupted: " + describe(request), e);
        } catch (ExecutionException e) {
            discard(pool);
            throw failure(request, e.getCause());
        }
    }

    HttpClient currentClient() {
        return client;
    }

    /**
     * Replaces the connection pool after a failed call, unless another call has already replaced it.
     *
     * @param pool the pool that the call used
     */
    synchronized void discard(HttpClient pool) {
        if (client == pool) {
            client = createClient();
        }
    }

    private HttpClient createClient() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NEVER)
                .connectTimeout(limit.compareTo(CONNECT_LIMIT) < 0 ? limit : CONNECT_LIMIT)
                .executor(executor)
                .build();
    }

    static PlatformException failure(HttpRequest request, Throwable cause) {
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return new PlatformException(Effect.NONE, Reason.UNREACHABLE, "not reachable: " + describe(request), cause);
        }
        return new PlatformException(Effect.UNKNOWN, Reason.NO_ANSWER, "connection broke: " + describe(request), cause);
    }

    /**
     * Converts an error response. The effect is the one that the response states; without one, status 4xx means no
     * effect and any other status an unknown effect. What a response with a status that HTTP does not have states is
     * not believed.
     *
     * @param request the request
     * @param response the response
     * @return the failure
     */
    static PlatformException errorAnswer(HttpRequest request, HttpResponse<byte[]> response) {
        int status = response.statusCode();
        JsonNode answer = readError(response.body());
        boolean rejected = status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR;
        String effect = answer.path("effect").asText();
        boolean noEffect = status < STATUS_END && ("none".equals(effect) || rejected && !"unknown".equals(effect));
        String message =
                "status " + status + ", " + answer.path("message").asText("no message") + ": " + describe(request);
        PlatformException failure = new PlatformException(
                noEffect ? Effect.NONE : Effect.UNKNOWN,
                reason(answer.path("reason").asText()),
                message,
                null);
        return retryAfter(response).map(failure::withRetryAfter).orElse(failure);
    }

    /** Reads the seconds for which an unavailable server wants no calls; a date is ignored. */
    private static Optional<Duration> retryAfter(HttpResponse<?> response) {
        if (response.statusCode() != STATUS_UNAVAILABLE) {
            return Optional.empty();
        }
        OptionalLong seconds;
        try {
            seconds = response.headers().firstValueAsLong("Retry-After");
        } catch (NumberFormatException date) {
            return Optional.empty();
        }
        return seconds.isPresent() && seconds.getAsLong() > 0
                ? Optional.of(Duration.ofSeconds(Math.min(seconds.getAsLong(), MAXIMUM_RETRY_AFTER_SECONDS)))
                : Optional.empty();
    }

    private static JsonNode readError(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return JSON.createObjectNode();
        } catch (IOException e) {
            throw new IllegalStateException("reading a byte array failed", e);
        }
    }

    private static Reason reason(String name) {
        return switch (name) {
            case "throttled" -> Reason.THROTTLED;
            case "fenced" -> Reason.FENCED;
            case "not-resident" -> Reason.NOT_RESIDENT;
            case "no-free-slot" -> Reason.NO_FREE_SLOT;
            case "not-found" -> Reason.NOT_FOUND;
            default -> Reason.FAILED;
        };
    }

    private static String describe(HttpRequest request) {
        return request.method() + " " + request.uri().getAuthority()
                + request.uri().getPath();
    }
}
