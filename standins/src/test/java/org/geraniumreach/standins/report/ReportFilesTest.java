package org.geraniumreach.standins.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ReportFilesTest {

    @TempDir
    private Path directory;

    @Test
    void theSpreadOverTheRunsOfAConfigurationIsReported() throws IOException {
        List<Path> results = List.of(
                result("plain-hashing-1", 0.1, 10), result("plain-hashing-2", 0.3, 10), result("affinity-1", 0.05, 5));
        List<String> lines = ReportFiles.write(results, directory.resolve("report"));
        assertThat(lines).anyMatch(line -> line.contains("stalled") && line.contains("20.00  (10.00 to 30.00)"));
        assertThat(lines).anyMatch(line -> line.contains("due") && line.contains("50.00"));
        assertThat(directory.resolve("report/stalled.svg")).isNotEmptyFile();
        assertThat(directory.resolve("report/report.json")).isNotEmptyFile();
    }

    private Path result(String name, double stalled, int served) throws IOException {
        Path file = directory.resolve(name + ".json");
        Files.writeString(
                file,
                "{\"result\":{\"seconds\":1,\"faults\":[],\"stalls\":{\"stalledShare\":" + stalled
                        + "},\"accounts\":[{\"sent\":10,\"served\":" + served + "}]}}");
        return file;
    }
}
