package org.geraniumreach.benchmarks.trial;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Runs trials with several seeds and reports them as JSON and as Markdown tables. Confined to one thread, except that the
 * seeds of a trial run in parallel.
 */
final class TrialReport {

    private static final String TABLE_HEADER =
            "| policies | stalled % | mean stall s | stall p95 s | stall p99 s | loads/1000 "
                    + "| batch | adapters/batch | tokens/busy s | worst served % | its p99 s | p95 s | expired % |\n"
                    + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

    private final int seedCount;
    private final List<Row> rows = new ArrayList<>();
    private final StringBuilder markdown = new StringBuilder();

    TrialReport(int seeds) {
        this.seedCount = seeds;
    }

    /** The results of a workload under given policies, one for each seed. */
    record Row(Workload workload, Policies policies, List<TrialResult> results) {}

    void run(Workload workload, List<Policies> variants) {
        markdown.append("\n### ").append(workload.name()).append("\n\n").append(TABLE_HEADER);
        for (Policies policies : variants) {
            List<TrialResult> results = LongStream.rangeClosed(1, seedCount)
                    .parallel()
                    .mapToObj(seed -> Trial.run(workload, policies, seed))
                    .toList();
            rows.add(new Row(workload, policies, results));
            markdown.append(tableRow(policies.name(), results));
        }
    }

    private static String tableRow(String name, List<TrialResult> results) {
        return "| " + name
                + tableCell(results, result -> 100 * result.stalledShare())
                + tableCell(results, TrialResult::stallMean)
                + tableCell(results, TrialResult::stall95)
                + tableCell(results, TrialResult::stall99)
                + tableCell(results, TrialResult::loadsPerThousand)
                + tableCell(results, TrialResult::batch)
                + tableCell(results, TrialResult::adaptersPerBatch)
                + tableCell(results, TrialResult::tokensPerBusySecond)
                + tableCell(results, result -> 100 * result.worstServed())
                + tableCell(results, TrialResult::worstLatency99)
                + tableCell(results, TrialResult::latency95)
                + tableCell(results, result -> 100 * result.expiredShare())
                + " |\n";
    }

    private static String tableCell(List<TrialResult> results, ToDoubleFunction<TrialResult> metric) {
        SummaryStatistics statistics = new SummaryStatistics();
        results.forEach(result -> statistics.addValue(metric.applyAsDouble(result)));
        return String.format(Locale.ROOT, " | %.2f ±%.2f", statistics.getMean(), statistics.getStandardDeviation());
    }

    String markdown() {
        return markdown.toString();
    }

    void writeJson(Path file) throws IOException {
        SimpleModule durations = new SimpleModule().addSerializer(Duration.class, ToStringSerializer.instance);
        ObjectMapper mapper = new ObjectMapper().registerModule(durations).enable(SerializationFeature.INDENT_OUTPUT);
        Files.writeString(file, mapper.writeValueAsString(rows));
    }
}
