package org.geraniumreach.standins.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Summarizes each metric over the runs of each configuration.
 *
 * <p>Immutable after construction and safe for use by several threads.
 */
final class Comparison {

    private final Map<String, List<RunMetrics>> runs = new TreeMap<>();

    Comparison(List<RunMetrics> all) {
        all.forEach(run -> runs.computeIfAbsent(run.configuration(), name -> new ArrayList<>())
                .add(run));
    }

    List<String> configurations() {
        return List.copyOf(runs.keySet());
    }

    int count(String configuration) {
        return runs.get(configuration).size();
    }

    long held(String configuration) {
        return runs.get(configuration).stream().filter(RunMetrics::held).count();
    }

    SummaryStatistics summary(String configuration, Metric metric) {
        SummaryStatistics statistics = new SummaryStatistics();
        runs.get(configuration).forEach(run -> statistics.addValue(run.values().get(metric)));
        return statistics;
    }

    List<String> toTable() {
        List<String> lines = new ArrayList<>();
        for (String configuration : configurations()) {
            lines.add(configuration + ": " + count(configuration) + " runs, all held in " + held(configuration));
            for (Metric metric : Metric.values()) {
                SummaryStatistics summary = summary(configuration, metric);
                lines.add(String.format(
                        Locale.ROOT,
                        "  %-62s %10.2f  (%.2f to %.2f)",
                        metric.label(),
                        summary.getMean(),
                        summary.getMin(),
                        summary.getMax()));
            }
        }
        return lines;
    }
}
