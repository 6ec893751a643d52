package org.geraniumreach.daemon.companion;

import java.time.Duration;

import org.geraniumreach.model.AttemptId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptTableTest {

    private static final long RETENTION = Duration.ofSeconds(60).toNanos();
    private static final long LATER = Duration.ofSeconds(300).toNanos();
    private static final AttemptId BOOKING = AttemptId.of("booking");

    @Test
    void sealWithAnAgeTakenBeforeAFreezeDoesNotMakeALaterSealReportNeverStarted() {
        // A booking ran and was forgotten. An entry that was frozen meanwhile seals it with the age from before its
        // freeze, so it seems to be young enough to be remembered. Another entry then seals it with its true age. If
        // that reported "never started", the caller would book again.
        AttemptTable<String> table = new AttemptTable<>(RETENTION, 100);
        table.add(BOOKING, "kept");
        table.start(BOOKING);
        table.end(BOOKING, true, 0);
        table.expire(LATER);
        table.seal(BOOKING, Duration.ofSeconds(1).toNanos(), LATER);
        assertThat(table.seal(BOOKING, LATER, LATER)).isEqualTo(AttemptTable.KnownState.FORGOTTEN);
    }

    @Test
    void attemptSealedWhileWaitingIsNeverStartedAtAnyAge() {
        AttemptTable<String> table = new AttemptTable<>(RETENTION, 100);
        table.add(BOOKING, "kept");
        table.seal(BOOKING, 0, 1);
        assertThat(table.seal(BOOKING, LATER, 2)).isEqualTo(AttemptTable.KnownState.NEVER_STARTED);
        assertThat(table.start(BOOKING)).isFalse();
    }
}
