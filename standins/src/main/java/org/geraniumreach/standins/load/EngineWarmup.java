package org.geraniumreach.standins.load;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;

import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.load.LoadSettings.AccountLoad;
import org.geraniumreach.standins.load.LoadSettings.EntryShare;

/**
 * Loads the adapters of a run into engines that are called directly, without a companion to load them.
 *
 * <p>Used by one thread.
 */
final class EngineWarmup {

    private static final int OK = 200;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    void load(LoadSettings settings) throws InterruptedException, IOException {
        for (EntryShare engine : settings.entries()) {
            for (AccountLoad account : settings.accounts()) {
                load(engine, account.adapters());
            }
        }
    }

    private void load(EntryShare engine, LoadSettings.AdapterRange adapters) throws InterruptedException, IOException {
        for (int number = 0; number < adapters.count(); number++) {
            String body = Call.JSON
                    .createObjectNode()
                    .put("adapter", adapters.prefix() + (adapters.first() + number))
                    .put("version", adapters.version())
                    .toString();
            HttpRequest request = HttpRequest.newBuilder(engine.url().resolve("/v1/adapters/load"))
                    .POST(BodyPublishers.ofString(body))
                    .build();
            HttpResponse<String> answer = client.send(request, BodyHandlers.ofString());
            if (answer.statusCode() != OK) {
                throw new IOException("load failed: " + answer.body());
            }
        }
    }
}
