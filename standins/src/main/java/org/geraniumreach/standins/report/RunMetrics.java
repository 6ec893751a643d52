package org.geraniumreach.standins.report;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The metrics of one run.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param configuration the name of the configuration
 * @param held whether all checks passed
 * @param values the values of all metrics
 */
record RunMetrics(String configuration, boolean held, Map<Metric, Double> values) {

    private static final String OUT_OF_BUDGET = "OUT_OF_BUDGET";
    private static final double PERCENT = 100;

    static RunMetrics of(String configuration, JsonNode run) {
        JsonNode result = run.path("result");
        Map<Metric, Double> values = new TreeMap<>();
        JsonNode stalls = result.path("stalls");
        values.put(Metric.STALLED, PERCENT * stalls.path("stalledShare").asDouble());
        values.put(Metric.STALL_95, stalls.path("boundMillis95").asDouble());
        values.put(Metric.LOADS, stalls.path("loadsPerThousand").asDouble());
        values.put(Metric.BATCH, result.path("batches").path("meanBatch").asDouble());
        values.put(
                Metric.BATCH_ADAPTERS,
                result.path("batches").path("meanAdapters").asDouble());
        values.put(Metric.TOKENS, sum(result, "tokens") / result.path("seconds").asDouble(1));
        values.put(Metric.WRONGFUL, PERCENT * sum(result, "wrongfullyRefused") / Math.max(1, sum(result, "sent")));
        values.put(Metric.WORST_SHARE, PERCENT * minimumShare(result));
        values.put(Metric.WORST_FIRST_TOKEN, maximumFirstToken(result));
        return new RunMetrics(
                configuration,
                result.path("held").asBoolean(result.path("faults").isEmpty()),
                values);
    }

    private static double sum(JsonNode result, String field) {
        double sum = 0;
        for (JsonNode account : result.path("accounts")) {
            sum += account.path(field).asDouble();
        }
        return sum;
    }

    /**
     * Returns the lowest fraction served of the requests that one central token bucket would admit, over all accounts.
     */
    private static double minimumShare(JsonNode result) {
        double minimum = 1;
        for (JsonNode account : result.path("accounts")) {
            double admissible = account.path("sent").asDouble()
                    - account.path("codes").path(OUT_OF_BUDGET).asDouble()
                    + account.path("wrongfullyRefused").asDouble();
            if (admissible > 0) {
                minimum = Math.min(minimum, account.path("served").asDouble() / admissible);
            }
        }
        return minimum;
    }

    private static double maximumFirstToken(JsonNode result) {
        double maximum = 0;
        for (JsonNode account : result.path("accounts")) {
            boolean withinRate = account.path("codes").path(OUT_OF_BUDGET).asDouble()
                    <= account.path("wrongfullyRefused").asDouble();
            if (withinRate) {
                maximum =
                        Math.max(maximum, account.path("firstToken").path("p99").asDouble());
            }
        }
        return maximum;
    }
}
