package org.geraniumreach.model;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventCodeTest {

    private static final Path DOCUMENTATION = Path.of("..", "docs", "EVENTS.md");

    @Test
    void documentationListsEveryEvent() throws IOException {
        List<String> rows = Files.readAllLines(DOCUMENTATION).stream()
                .filter(line -> line.matches("\\| \\d+ .*"))
                .toList();
        assertThat(rows)
                .containsExactlyElementsOf(Arrays.stream(EventCode.values())
                        .map(event -> "| " + event.number() + " | " + event + " | " + event.level() + " | "
                                + event.meaning() + " |")
                        .toList());
    }

    @Test
    void numbersAreUnique() {
        assertThat(EventCode.values()).extracting(EventCode::number).doesNotHaveDuplicates();
    }
}
