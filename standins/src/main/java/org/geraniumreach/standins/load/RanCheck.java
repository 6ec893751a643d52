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
 * Reads the targets' records after a run and checks by them what callers were told.
 *
 * <p>Used by one thread.
 */
final class RanCheck {

    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final LoadSettings settings;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<String> faults = new ArrayList<>();
    private BatchFigures figures = BatchFigures.NONE;

    RanCheck(LoadSettings settings) {
        this.settings = settings;
    }

    List<String> faults() {
        return faults;
    }

    BatchFigures figures() {
        return figures;
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
        RunRecords records = new RunRecords();
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
        figures = records.figures(generations);
    }

    private void readAll(URI target, String items, Consumer<JsonNode> consumer)
            throws IOException, InterruptedException {
        long last = 0;
        while (true) {
            HttpRequest request = HttpRequest.newBuilder(target.resolve("/v1/ran?after=" + last))
                    .timeout(LIMIT)
                    .build();
            JsonNode ran = Call.JSON.readTree(
                    client.send(request, BodyHandlers.ofString()).body());
            JsonNode read = ran.path(items);
            if (read.isEmpty()) {
                return;
            }
            consumer.accept(ran);
            last = read.get(read.size() - 1).path("number").asLong();
        }
    }
}
