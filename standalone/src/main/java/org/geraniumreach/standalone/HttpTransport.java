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
 * Calls one HTTP server, each call within a time limit, over pooled connections that are dropped after any failure.
 *
 * <p>Something between two ends can lose track of open connections: a call on one gets no answer for ever, while a new
 * connection works. A pool that keeps the others would fail as many calls as it has connections. So a call that fails or
 * runs out of time discards the whole pool; calls running on it end as they will, and the next call connects anew.
 *
 * <p>Invariant: of failures with the same pool the first replaces it. Safe for use by several threads.
 */
final class HttpTransport {

    static final ObjectMapper JSON = new ObjectMapper();

    private static final String KEEP_ALIVE_PROPERTY = "jdk.httpclient.keepalive.timeout";
    private static final String KEEP_ALIVE_SECONDS = "10";
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(1);
    private static final int STATUS_OK = 200;
    private static final int STATUS_CLIENT_ERROR = 400;
    private static final int STATUS_SERVER_ERROR = 500;

    static {
        // A server closes a connection that idles for long. A call that meets the closing has an unknown outcome,
        // although it never ran. Giving idle connections up sooner than servers do keeps calls off them.
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
        HttpClient used = client;
        CompletableFuture<HttpResponse<byte[]>> future =
                used.sendAsync(request, response -> new LimitedBodySubscriber(maximumAnswerBytes));
        HttpResponse<byte[]> response = await(request, used, future);
        if (response.statusCode() != STATUS_OK) {
            throw errorAnswer(request, response.statusCode(), response.body());
        }
        return response.body();
    }

    private HttpResponse<byte[]> await(
            HttpRequest request, HttpClient used, CompletableFuture<HttpResponse<byte[]>> future)
            throws PlatformException {
        try {
            return future.get(limit.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            future.cancel(true);
            discard(used);
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
            discard(used);
            throw failure(request, e.getCause());
        }
    }

    HttpClient currentClient() {
        return client;
    }

    /**
     * Drops the pool that a failed call has used.
     *
     * @param used the pool
     */
    synchronized void discard(HttpClient used) {
        if (client == used) {
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
     * Reads an error answer: a request that the other end found wrong took no effect, and of other failures it says so
     * itself.
     *
     * @param request what was asked
     * @param status the HTTP status
     * @param body the answer
     * @return the failure
     */
    static PlatformException errorAnswer(HttpRequest request, int status, byte[] body) {
        JsonNode answer = readError(body);
        boolean rejected = status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR;
        String said = answer.path("effect").asText();
        boolean none = "none".equals(said) || rejected && !"unknown".equals(said);
        String message =
                "status " + status + ", " + answer.path("message").asText("no message") + ": " + describe(request);
        return new PlatformException(
                none ? Effect.NONE : Effect.UNKNOWN,
                reason(answer.path("reason").asText()),
                message,
                null);
    }

    private static JsonNode readError(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return JSON.createObjectNode();
        } catch (IOException e) {
            throw new IllegalStateException("reading from memory failed", e);
        }
    }

    private static Reason reason(String text) {
        return switch (text) {
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
