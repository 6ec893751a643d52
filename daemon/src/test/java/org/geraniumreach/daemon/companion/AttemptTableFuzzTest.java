package org.geraniumreach.daemon.companion;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.geraniumreach.daemon.companion.AttemptTable.KnownState;
import org.geraniumreach.model.AttemptId;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptTableFuzzTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long RETENTION = 60 * SECOND;
    private static final int RETAINED = 4;

    /** Records what really happened, for comparison with what the table reports. */
    private static final class Oracle {
        private final AttemptTable<String> table = new AttemptTable<>(RETENTION, RETAINED);
        private final Map<AttemptId, Long> sentAt = new HashMap<>();
        private final Map<AttemptId, Long> sealedAt = new HashMap<>();
        private final Set<AttemptId> inTransit = new HashSet<>();
        private final Set<AttemptId> started = new HashSet<>();
        private final Set<AttemptId> reportedNeverStarted = new HashSet<>();
        private long now = SECOND;

        private AttemptId id(int number) {
            return AttemptId.of("attempt-" + number);
        }

        private void send(AttemptId id) {
            if (sentAt.putIfAbsent(id, now) == null) {
                inTransit.add(id);
            }
        }

        /** Delivers the Run, unless its link was closed for silence or its send limit has passed. */
        private void arrive(AttemptId id) {
            boolean isTooLate = now - sealedAt.getOrDefault(id, now) > RETENTION / 2;
            if (inTransit.remove(id) && !isTooLate) {
                table.add(id, "value");
            }
        }

        private void start(AttemptId id) {
            if (table.start(id)) {
                assertThat(started.add(id)).as("first start").isTrue();
                assertThat(reportedNeverStarted).doesNotContain(id);
            }
        }

        private void end(AttemptId id) {
            if (started.contains(id)) {
                table.end(id, true, now);
            }
        }

        private void seal(AttemptId id, boolean ageKnown) {
            if (!sentAt.containsKey(id)) {
                return;
            }
            long age = ageKnown ? now - sentAt.get(id) : AttemptTable.AGE_UNKNOWN;
            sealedAt.putIfAbsent(id, now);
            if (table.seal(id, age, now) == KnownState.NEVER_STARTED) {
                assertThat(started).as("said never started").doesNotContain(id);
                reportedNeverStarted.add(id);
            }
        }

        private void advance(int seconds) {
            now += seconds * SECOND;
            table.expire(now);
        }
    }

    @Property(seed = "4", tries = 5000)
    void attemptStartsAtMostOnceAndNeverAfterNeverStartedWasReported(
            @ForAll @Size(max = 120) List<@IntRange(min = 0, max = 9_999) Integer> steps) {
        // Attempts arrive, start, end and are sealed in any order while the small table forgets the oldest ones. If it
        // reported a forgotten attempt as never started, a booking that was made would be made again.
        Oracle oracle = new Oracle();
        for (int step : steps) {
            AttemptId id = oracle.id(step / 10 % 12);
            switch (step % 10) {
                case 0, 1 -> oracle.send(id);
                case 2, 3 -> oracle.arrive(id);
                case 4, 5 -> oracle.start(id);
                case 6 -> oracle.end(id);
                case 7 -> oracle.seal(id, true);
                case 8 -> oracle.seal(id, false);
                default -> oracle.advance(step / 10 % 40);
            }
        }
    }
}
