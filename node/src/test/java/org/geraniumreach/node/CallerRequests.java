package org.geraniumreach.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Builds and sends the requests of callers of a {@link FakePlatform}. Stateless and safe for use by several threads. */
final class CallerRequests {

    private static final String GENERATION_PATH = "/chat/";

    private CallerRequests() {}

    /** Begins a request with a body, whose caller leaves at the deadline that it names; it names the model only if its path leads to one. */
    static HttpRequest.Builder post(
            InetSocketAddress entry, String path, String id, Duration timeout, String body, String model) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + entry.getAddress().getHostAddress() + ":" + entry.getPort() + path))
                .timeout(timeout)
                .header("X-Attempt-Id", id)
                .header("X-Deadline-Ms", Long.toString(timeout.toMillis()))
                .header("Authorization", "Bearer " + FakePlatform.KEY)
                .POST(HttpRequest.BodyPublishers.ofString(body));
        return path.startsWith(GENERATION_PATH)
                ? request.header("X-Model", model).header("X-Token-Count", "100,5")
                : request;
    }

    /** Sends a request and returns the status of its whole answer, 0 if there is none. */
    static int status(HttpClient client, HttpRequest request) throws InterruptedException {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException broken) {
            return 0;
        }
    }
}
