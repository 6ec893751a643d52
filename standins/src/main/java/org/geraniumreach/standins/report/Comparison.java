package org.geraniumreach.standins.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * The spread of each figure over the runs of each configuration.
 *
 * <p>Immutable after its making and safe for use by several threads.
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

    SummaryStatistics spread(String configuration, Metric figure) {
        SummaryStatistics statistics = new SummaryStatistics();
        runs.get(configuration).forEach(run -> statistics.addValue(run.values().get(figure)));
        return statistics;
    }

    List<String> toTable() {
        List<String> lines = new ArrayList<>();
        for (String configuration : configurations()) {
            lines.add(configuration + ": " + count(configuration) + " runs, all held in " + held(configuration));
            for (Metric figure : Metric.values()) {
                SummaryStatistics spread = spread(configuration, figure);
                lines.add(String.format(
                        Locale.ROOT,
                        "  %-62s %10.2f  (%.2f to %.2f)",
                        figure.label(),
                        spread.getMean(),
                        spread.getMin(),
                        spread.getMax()));
            }
        }
        return lines;
    }
}
