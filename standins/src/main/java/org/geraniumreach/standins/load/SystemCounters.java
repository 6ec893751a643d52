package org.geraniumreach.standins.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.load.LoadSettings.Observed;

/**
 * A reading of the counters of the entries and the weight store.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param waits the load waits, summed over all entries
 * @param loads the number of transfers that the weight store completed
 */
record SystemCounters(LoadWaits waits, long loads) {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    static SystemCounters fetch(Observed observed) throws IOException, InterruptedException {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        LoadWaits waits = LoadWaits.NONE;
        for (URI entry : observed.metrics()) {
            waits = waits.plus(LoadWaits.parse(read(client, entry.resolve("/metrics"))));
        }
        long loads = 0;
        if (observed.platform() != null) {
            String counters = read(client, observed.platform().resolve("/admin/counters?part=weights"));
            loads = Call.JSON.readTree(counters).path("done").asLong();
        }
        return new SystemCounters(waits, loads);
    }

    private static String read(HttpClient client, URI url) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(url).timeout(TIMEOUT).build();
        return client.send(request, BodyHandlers.ofString()).body();
    }

    StallStatistics since(SystemCounters before) {
        return StallStatistics.of(waits.minus(before.waits), loads - before.loads);
    }
}
