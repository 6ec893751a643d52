package org.geraniumreach.link;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.geraniumreach.messages.Refused;
import org.geraniumreach.messages.Run;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptTrackerTest {

    private static final Duration LIMIT = Duration.ofSeconds(10);
    private static final AttemptTracker.Limits LIMITS = new AttemptTracker.Limits(LIMIT, LIMIT, LIMIT);

    private static AttemptTracker tracker(boolean repeatable) {
        Run run = Run.newBuilder()
                .setAttempt("attempt-1")
                .setRepeatable(repeatable)
                .setCredit(4)
                .build();
        return AttemptTracker.ofRun(run, 1, LIMITS, 0);
    }

    private static Refused refused(ResultCode code, ExecutionStatus status) {
        return Refused.newBuilder()
                .setCode(code.number())
                .setRan(status.ordinal())
                .build();
    }

    private static Optional<ExecutionStatus> reportedStatus(List<AttemptAction> actions) {
        for (AttemptAction action : actions) {
            if (action instanceof AttemptAction.NotifyLost lost) {
                return Optional.of(lost.executionStatus());
            }
            if (action instanceof AttemptAction.NotifyRefused refused) {
                return Optional.of(ExecutionStatus.values()[refused.refused().getRan()]);
            }
        }
        return Optional.empty();
    }

    @Test
    void attemptNeverSentIsReportedNotRun() {
        assertThat(reportedStatus(tracker(false).onNeverSent("no link"))).contains(ExecutionStatus.NO);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void companionLossAfterSendIsReportedUnknown(boolean repeatable) {
        // The link is lost after the Run was handed to it, and no new one opens. The Run may have arrived: reporting
        // "not run" could make an entry send a booking twice.
        AttemptTracker tracker = tracker(repeatable);
        tracker.start(0);
        tracker.onLinkLost(1);
        assertThat(reportedStatus(tracker.tick(LIMIT.toNanos()))).isEmpty();
        assertThat(reportedStatus(tracker.tick(LIMIT.toNanos() + 2))).contains(ExecutionStatus.UNKNOWN);
    }

    @Test
    void companionRestartIsUnknownForNonRepeatableAttempt() {
        // The companion is restarted, and the new process does not know what the previous one started.
        AttemptTracker tracker = tracker(false);
        tracker.start(0);
        tracker.onLinkLost(1);
        assertThat(reportedStatus(tracker.onLinkOpened(2, 2))).contains(ExecutionStatus.UNKNOWN);
    }

    @ParameterizedTest
    @CsvSource({"1, NO", "10000, NO", "10001, UNKNOWN"})
    void notRunIsTrustedOnlyWithinAnswerLimit(long millis, ExecutionStatus expected) {
        // The companion answers a Resume that it does not know the attempt. It discards attempts after a time, so a
        // late answer may come from a companion that ran the attempt and discarded it.
        AttemptTracker tracker = tracker(false);
        tracker.start(0);
        tracker.onLinkLost(1);
        tracker.onLinkOpened(1, 1);
        long now = Duration.ofMillis(millis).toNanos() + 1;
        assertThat(reportedStatus(tracker.onRefused(refused(ResultCode.NOT_RUN, ExecutionStatus.NO), now)))
                .contains(expected);
    }

    @Test
    void lateLoadFailureIsStillReportedNotRun() {
        AttemptTracker tracker = tracker(false);
        tracker.start(0);
        long now = Duration.ofMinutes(5).toNanos();
        assertThat(reportedStatus(tracker.onRefused(refused(ResultCode.LOAD_FAILED, ExecutionStatus.NO), now)))
                .contains(ExecutionStatus.NO);
    }
}
