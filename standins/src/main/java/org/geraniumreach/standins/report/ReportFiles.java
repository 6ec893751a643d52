package org.geraniumreach.standins.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;

/** Reads the results of runs and writes their comparison as JSON and as one plot per metric. Stateless. */
public final class ReportFiles {

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final int WIDTH_PIXELS = 640;
    private static final int HEIGHT_PIXELS = 400;

    private ReportFiles() {}

    /**
     * Compares runs and writes the report.
     *
     * @param results the result files of the load tool, named CONFIGURATION-ROUND.json, not null
     * @param directory the directory to write the report to, not null
     * @return the comparison as lines of text, not null
     * @throws IOException if a file cannot be read or written
     */
    public static List<String> write(List<Path> results, Path directory) throws IOException {
        List<RunMetrics> runs = new ArrayList<>();
        for (Path file : results) {
            runs.add(RunMetrics.of(configurationOf(file), JSON.readTree(file.toFile())));
        }
        Comparison comparison = new Comparison(runs);
        Files.createDirectories(directory);
        JSON.writeValue(directory.resolve("report.json").toFile(), toJson(comparison));
        for (Metric metric : Metric.values()) {
            plot(comparison, metric, directory);
        }
        return comparison.toTable();
    }

    private static String configurationOf(Path file) {
        String name = file.getFileName().toString();
        int dash = name.lastIndexOf('-');
        if (dash < 1) {
            throw new IllegalArgumentException("not named CONFIGURATION-ROUND.json: " + file);
        }
        return name.substring(0, dash);
    }

    private static ObjectNode toJson(Comparison comparison) {
        ObjectNode json = JSON.createObjectNode();
        for (String configuration : comparison.configurations()) {
            ObjectNode metrics = json.putObject(configuration)
                    .put("runs", comparison.count(configuration))
                    .put("held", comparison.held(configuration));
            for (Metric metric : Metric.values()) {
                SummaryStatistics summary = comparison.summary(configuration, metric);
                metrics.putObject(metric.name().toLowerCase(Locale.ROOT))
                        .put("label", metric.label())
                        .put("mean", summary.getMean())
                        .put("least", summary.getMin())
                        .put("most", summary.getMax());
            }
        }
        return json;
    }

    private static void plot(Comparison comparison, Metric metric, Path directory) throws IOException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(metric.label())
                .yAxisTitle(metric.label())
                .build();
        chart.getStyler().setLegendVisible(false);
        List<Double> means = new ArrayList<>();
        List<Double> halfRanges = new ArrayList<>();
        for (String configuration : comparison.configurations()) {
            SummaryStatistics summary = comparison.summary(configuration, metric);
            means.add(summary.getMean());
            halfRanges.add((summary.getMax() - summary.getMin()) / 2);
        }
        chart.addSeries("mean and half the range", comparison.configurations(), means, halfRanges);
        String name = metric.name().toLowerCase(Locale.ROOT).replace('_', '-');
        VectorGraphicsEncoder.saveVectorGraphic(chart, directory.resolve(name).toString(), VectorGraphicsFormat.SVG);
    }
}
