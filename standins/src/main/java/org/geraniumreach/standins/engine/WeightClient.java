package org.geraniumreach.standins.engine;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.CompletionStage;

import org.geraniumreach.model.AdapterReference;

/**
 * An HTTP client that fetches adapters from the weight store.
 *
 * <p>Safe for use by several threads.
 */
final class WeightClient {

    private static final int OK = 200;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final URI base;

    WeightClient(URI base) {
        this.base = base;
    }

    CompletionStage<Boolean> fetch(AdapterReference adapter) {
        HttpRequest request = HttpRequest.newBuilder(base.resolve("/v1/weights/" + adapter))
                .GET()
                .build();
        return client.sendAsync(request, BodyHandlers.discarding())
                .handle((response, failure) -> failure == null && response.statusCode() == OK);
    }
}
