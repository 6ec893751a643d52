package org.geraniumreach.standins.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.standins.http.Call;

/**
 * Reads the plain services' records after a run and checks the bookings by them.
 *
 * <p>Used by one thread.
 */
final class RanCheck {

    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final LoadSettings settings;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    RanCheck(LoadSettings settings) {
        this.settings = settings;
    }

    List<String> check(Map<String, Outcome> bookings) throws InterruptedException {
        if (settings.service() == null || settings.service().ran().isEmpty()) {
            return List.of();
        }
        RunRecords records = new RunRecords();
        try {
            for (URI worker : settings.service().ran()) {
                readAll(worker, records);
            }
        } catch (IOException e) {
            return List.of("records of what ran could not be read: " + e);
        }
        return records.check(bookings);
    }

    private void readAll(URI worker, RunRecords records) throws IOException, InterruptedException {
        long read = 0;
        while (true) {
            HttpRequest request = HttpRequest.newBuilder(worker.resolve("/v1/ran?after=" + read))
                    .timeout(LIMIT)
                    .build();
            JsonNode ran = Call.JSON.readTree(
                    client.send(request, BodyHandlers.ofString()).body());
            if (ran.path("runs").isEmpty()) {
                return;
            }
            records.add(ran);
            read += ran.path("runs").size();
        }
    }
}
