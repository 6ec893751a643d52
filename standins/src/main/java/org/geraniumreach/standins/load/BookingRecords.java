package org.geraniumreach.standins.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.standins.http.Call;

/**
 * Checks the outcomes that callers received against the workers' run records.
 *
 * <p>Used by one thread.
 */
final class BookingRecords {

    private final Map<String, Integer> runsByBooking = new HashMap<>();

    void add(JsonNode ran) {
        for (JsonNode run : ran.path("runs")) {
            runsByBooking.merge(bookingOf(run.path("body").asText()), 1, Integer::sum);
        }
    }

    private static String bookingOf(String body) {
        try {
            return Call.JSON.readTree(body).path("booking").asText();
        } catch (JsonProcessingException e) {
            return "";
        }
    }

    /**
     * Checks that no booking ran twice, each served one ran, and no refused one ran.
     *
     * @param outcomes the outcomes by booking
     * @return the faults found
     */
    List<String> check(Map<String, Outcome> outcomes) {
        List<String> faults = new ArrayList<>();
        outcomes.forEach((booking, outcome) -> check(booking, outcome, faults));
        return faults;
    }

    private void check(String booking, Outcome outcome, List<String> faults) {
        int runs = runsByBooking.getOrDefault(booking, 0);
        if (runs > 1) {
            faults.add("booking " + booking + " ran " + runs + " times");
        }
        if (outcome.isServed() && runs == 0) {
            faults.add("booking " + booking + " was answered and never ran");
        }
        if (outcome.verdict() == Outcome.Verdict.REFUSED && runs > 0) {
            faults.add("booking " + booking + " ran although the refusal says not");
        }
    }
}
