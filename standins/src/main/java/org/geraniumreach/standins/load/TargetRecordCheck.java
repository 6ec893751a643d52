package org.geraniumreach.standins.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.standins.http.Call;

/**
 * Reads the records of the targets after a run and checks the outcomes that callers received against them.
 *
 * <p>Used by one thread.
 */
final class TargetRecordCheck {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final LoadSettings settings;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<String> faults = new ArrayList<>();
    private BatchStatistics batchStatistics = BatchStatistics.NONE;

    TargetRecordCheck(LoadSettings settings) {
        this.settings = settings;
    }

    List<String> faults() {
        return faults;
    }

    BatchStatistics batchStatistics() {
        return batchStatistics;
    }

    void check(Map<String, Outcome> bookings, Map<String, SentGeneration> generations) throws InterruptedException {
        try {
            checkBookings(bookings);
            checkGenerations(generations);
        } catch (IOException e) {
            faults.add("records of what ran could not be read: " + e);
        }
    }

    private void checkBookings(Map<String, Outcome> bookings) throws IOException, InterruptedException {
        if (settings.service() == null || settings.service().ran().isEmpty()) {
            return;
        }
        BookingRecords records = new BookingRecords();
        for (URI worker : settings.service().ran()) {
            readAll(worker, "runs", records::add);
        }
        faults.addAll(records.check(bookings));
    }

    private void checkGenerations(Map<String, SentGeneration> generations) throws IOException, InterruptedException {
        if (settings.engines().isEmpty()) {
            return;
        }
        GenerationRecords records = new GenerationRecords();
        for (URI engine : settings.engines()) {
            readAll(engine, "streams", records::add);
        }
        faults.addAll(records.check(generations, settings.accounts()));
        batchStatistics = records.batchStatistics(generations);
    }

    private void readAll(URI target, String items, Consumer<JsonNode> consumer)
            throws IOException, InterruptedException {
        long last = 0;
        while (true) {
            HttpRequest request = HttpRequest.newBuilder(target.resolve("/v1/ran?after=" + last))
                    .timeout(TIMEOUT)
                    .build();
            JsonNode json = Call.JSON.readTree(
                    client.send(request, BodyHandlers.ofString()).body());
            JsonNode page = json.path(items);
            if (page.isEmpty()) {
                return;
            }
            consumer.accept(json);
            last = page.get(page.size() - 1).path("number").asLong();
        }
    }
}
