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

/** Reads results of runs, and writes their comparison as JSON and as a plot for each figure. Stateless. */
public final class ReportFiles {

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final int WIDTH = 640;
    private static final int HEIGHT = 400;

    private ReportFiles() {}

    /**
     * Compares runs.
     *
     * @param results files named CONFIGURATION-ROUND.json as the load tool writes them, not null
     * @param directory where the report goes, not null
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
        for (Metric figure : Metric.values()) {
            plot(comparison, figure, directory);
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
            ObjectNode figures = json.putObject(configuration)
                    .put("runs", comparison.count(configuration))
                    .put("held", comparison.held(configuration));
            for (Metric figure : Metric.values()) {
                SummaryStatistics spread = comparison.spread(configuration, figure);
                figures.putObject(figure.name().toLowerCase(Locale.ROOT))
                        .put("label", figure.label())
                        .put("mean", spread.getMean())
                        .put("least", spread.getMin())
                        .put("most", spread.getMax());
            }
        }
        return json;
    }

    private static void plot(Comparison comparison, Metric figure, Path directory) throws IOException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(figure.label())
                .yAxisTitle(figure.label())
                .build();
        chart.getStyler().setLegendVisible(false);
        List<Double> means = new ArrayList<>();
        List<Double> spreads = new ArrayList<>();
        for (String configuration : comparison.configurations()) {
            SummaryStatistics spread = comparison.spread(configuration, figure);
            means.add(spread.getMean());
            spreads.add((spread.getMax() - spread.getMin()) / 2);
        }
        chart.addSeries("mean and half the range", comparison.configurations(), means, spreads);
        String name = figure.name().toLowerCase(Locale.ROOT).replace('_', '-');
        VectorGraphicsEncoder.saveVectorGraphic(chart, directory.resolve(name).toString(), VectorGraphicsFormat.SVG);
    }
}
