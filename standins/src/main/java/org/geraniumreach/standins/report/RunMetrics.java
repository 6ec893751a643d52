package org.geraniumreach.standins.report;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The figures of one run by which configurations are compared.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param configuration the configuration's name
 * @param held whether all held
 * @param values the figures
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

    /** The least part of what was due that an account got; due is what one central bucket lets through. */
    private static double minimumShare(JsonNode result) {
        double worst = 1;
        for (JsonNode account : result.path("accounts")) {
            double due = account.path("sent").asDouble()
                    - account.path("codes").path(OUT_OF_BUDGET).asDouble()
                    + account.path("wrongfullyRefused").asDouble();
            if (due > 0) {
                worst = Math.min(worst, account.path("served").asDouble() / due);
            }
        }
        return worst;
    }

    private static double maximumFirstToken(JsonNode result) {
        double worst = 0;
        for (JsonNode account : result.path("accounts")) {
            boolean withinRate = account.path("codes").path(OUT_OF_BUDGET).asDouble()
                    <= account.path("wrongfullyRefused").asDouble();
            if (withinRate) {
                worst = Math.max(worst, account.path("firstToken").path("p99").asDouble());
            }
        }
        return worst;
    }
}
