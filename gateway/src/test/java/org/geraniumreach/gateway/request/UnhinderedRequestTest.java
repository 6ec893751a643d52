package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that the guard of each write and the end of older adapter versions must not hinder. */
class UnhinderedRequestTest extends AdapterVersionTestCase {

    /** Guards against writes that are omitted at a target that holds the version in force, since it has rejected the older one. */
    @Test
    void aRejectionOfTheOlderVersionSaysNothingOfTheNewerOne() {
        start(RetryPolicy.AT_MOST_ONCE, "a");
        send();
        SentRequest older = last();
        load("a", 2);
        world.adapters().setVersions(2, 2);
        world.targets().setConnecting(false);
        send();
        SentRequest newer = last();
        older.answerNotExecuted(NotExecuted.NOT_RESIDENT);
        newer.connect();
        assertThat(newer.isWritten()).isTrue();
    }

    /** Guards against taking back a request that was written for the version in force, though it was placed before that was loaded. */
    @Test
    void aRequestThatWasWrittenForTheNewerVersionGoesOn() {
        start(RetryPolicy.AT_MOST_ONCE_STREAM, "a");
        world.targets().setConnecting(false);
        send();
        SentRequest placed = last();
        world.adapters().nameVersion(ADAPTER, 2, world.time().nanos() + LIMIT.toNanos());
        load("a", 2);
        assertThat(placed.metadata().version().get()).hasValue(2);
        placed.connect();
        assertThat(placed.isWritten()).isTrue();
        world.time().advance(LIMIT);
        assertThat(placed.isCancelled()).isFalse();
    }

    /** Guards against a refusal of a request that was never written, since writes that were omitted count as sends. */
    @Test
    void omittedWritesUseUpNoSends() {
        start(RetryPolicy.AT_MOST_ONCE, "a", "b", "c", "d", "e", "f");
        world.targets().setConnecting(false);
        RecordedAnswer answer = send();
        for (int left = 0; left < 4; left++) {
            SentRequest current = last();
            current.target().markLeaving();
            current.connect();
        }
        assertThat(answer.isEnded()).isFalse();
    }

    /** Guards against taking everything back at once behind an outage, in which the version may have been named long ago. */
    @Test
    void targetsAreAskedBeforeRequestsAreTakenBackIfTheLimitHasPassed() {
        start(RetryPolicy.AT_MOST_ONCE_STREAM, "a");
        send();
        world.adapters().nameVersion(ADAPTER, 2, world.time().nanos() - LIMIT.toNanos());
        world.time()
                .advance(OutdatedAttempts.LOAD_MARGIN
                        .minus(OutdatedAttempts.END_MARGIN)
                        .minusMillis(1));
        assertThat(world.adapters().enqueuedLoads()).contains("a a7");
        assertThat(last().isCancelled()).isFalse();
        world.time().advance(Duration.ofMillis(1));
        assertThat(last().isCancelled()).isTrue();
    }

    /** Guards against a refusal of a request that was never written, since rows were old four times while its connection was opened. */
    @Test
    void oldRowsUseUpNoSends() {
        start(RetryPolicy.AT_MOST_ONCE, "a", "b");
        boolean[] outdated = {false};
        world.setRows(() -> outdated[0] ? Optional.of(Duration.ofMillis(20)) : Optional.empty());
        world.targets().setConnecting(false);
        RecordedAnswer answer = send();
        for (int period = 0; period < 4; period++) {
            outdated[0] = true;
            last().connect();
            world.time().advance(Duration.ofMillis(30));
            outdated[0] = false;
            world.time().advance(Duration.ofMillis(30));
        }
        assertThat(answer.isEnded()).isFalse();
    }
}
