package org.geraniumreach.model;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResultCodeTest {

    private static final Path DOCUMENTATION = Path.of("..", "docs", "RESULT-CODES.md");

    @Test
    void documentationListsEveryCode() throws IOException {
        List<String> rows = Files.readAllLines(DOCUMENTATION).stream()
                .filter(line -> line.matches("\\| \\d+ .*"))
                .toList();
        assertThat(rows)
                .containsExactlyElementsOf(Arrays.stream(ResultCode.values())
                        .map(code -> "| " + code.number() + " | " + code + " | " + code.httpStatus() + " | "
                                + code.meaning() + " |")
                        .toList());
    }

    @Test
    void numbersAreUnique() {
        assertThat(ResultCode.values()).extracting(ResultCode::number).doesNotHaveDuplicates();
    }
}
