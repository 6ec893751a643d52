package org.geraniumreach.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** The runs of all targets, grouped by the request's id. Immutable. */
final class SilentRuns {

    /** The run at the old target ends at most this long after the new one's start. */
    private static final long MAXIMUM_OVERLAP_NANOS = 400_000_000L;

    private final Map<String, List<SilentTarget.Run>> byId;

    SilentRuns(Collection<SilentTarget.Run> runs) {
        byId = runs.stream()
                .sorted(Comparator.comparingLong(SilentTarget.Run::startedAt))
                .collect(Collectors.groupingBy(SilentTarget.Run::id, HashMap::new, Collectors.toList()));
    }

    int count(String id) {
        return byId.getOrDefault(id, List.of()).size();
    }

    /** Returns the runs that go on for too long after the next one of the same request has begun. */
    List<String> overlaps(Collection<String> ids) {
        List<String> overlaps = new ArrayList<>();
        for (String id : ids) {
            List<SilentTarget.Run> runs = byId.getOrDefault(id, List.of());
            for (int index = 1; index < runs.size(); index++) {
                SilentTarget.Run former = runs.get(index - 1);
                long overlap =
                        Optional.of(former.endedAt()).filter(end -> end > 0).orElseGet(System::nanoTime)
                                - runs.get(index).startedAt();
                if (overlap > MAXIMUM_OVERLAP_NANOS) {
                    overlaps.add(former + ", then " + runs.get(index));
                }
            }
        }
        return overlaps;
    }
}
