package org.geraniumreach.node;

import java.util.Map;
import java.util.Set;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks of requests that may run once only. Stateless and safe for use by several threads. */
final class SingleRunAssertions {

    /** The statuses that promise that a request has not run and never will. */
    static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private SingleRunAssertions() {}

    /** Checks the number of runs of each request that ran, and the last status of each request, by their ids. */
    static void assertNoneRanTwiceOrThoughItWasRefused(Map<String, Integer> runs, Map<String, Integer> statuses) {
        assertThat(runs.entrySet())
                .as("requests that ran twice")
                .filteredOn(run -> run.getValue() > 1)
                .isEmpty();
        assertThat(statuses.entrySet())
                .as("requests that were refused and ran")
                .filteredOn(ended -> NOT_RUN.contains(ended.getValue()) && runs.containsKey(ended.getKey()))
                .isEmpty();
    }

    /** Queries whether a line is the end of a request that names the rejected write and the one that ran. */
    static boolean tellsBothWrites(String line, String id) {
        return line.contains("\"id\":\"" + id + "\"")
                && line.matches(".*\"writes\":\"\\w+#\\d+:NOT_EXECUTED \\w+#\\d+:MAY_HAVE_RUN\".*");
    }
}
