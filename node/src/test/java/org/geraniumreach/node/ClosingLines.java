package org.geraniumreach.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The log lines with which entries close requests, by the request's id. Immutable. */
final class ClosingLines {

    private static final Pattern CLOSING_LINE =
            Pattern.compile("\"event\":(?:4001|4002|4003|4011|4012|4013),\"name\":\"[A-Z_]+\",\"id\":\"([^\"]+)\"");

    private final Map<String, Integer> counts = new HashMap<>();

    private ClosingLines() {}

    static ClosingLines read(Collection<Path> logs) throws IOException {
        ClosingLines lines = new ClosingLines();
        for (Path log : logs) {
            for (String line : Files.readAllLines(log)) {
                Matcher closing = CLOSING_LINE.matcher(line);
                if (closing.find()) {
                    lines.counts.merge(closing.group(1), 1, Integer::sum);
                }
            }
        }
        return lines;
    }

    int count(String id) {
        return counts.getOrDefault(id, 0);
    }

    /** Returns the given ids that have not exactly one line. */
    List<String> notOnce(Collection<String> ids) {
        return ids.stream()
                .filter(id -> count(id) != 1)
                .map(id -> id + " has " + count(id))
                .toList();
    }
}
