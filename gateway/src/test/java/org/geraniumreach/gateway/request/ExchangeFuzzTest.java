package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.testing.FakeTargets;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs a request against random sequences of target, caller and clock events.
 *
 * <p>A longer run with new seeds: {@code mvn -pl gateway -am verify -Dtest=ExchangeFuzzTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Djqwik.tries.default=200000}; a failure prints its seed.
 */
class ExchangeFuzzTest {

    private static final int STEPS = 40;
    private static final int MAXIMUM_TARGETS = 2;

    // If an attempt that a target may have begun were followed by another attempt or by a "not run" answer, a booking
    // could be made twice, or made although the caller was told otherwise. The oracle records what each target began.
    @Property(tries = 4000)
    void aSingleRunRequestBeginsAtMostOnceAndNotRunIsAccurate(@ForAll long seed) {
        new RandomRun(seed, RetryPolicy.AT_MOST_ONCE).run();
    }

    @Property(tries = 4000)
    void anIdempotentRequestBeginsOnNoMoreTargetsThanAllowed(@ForAll long seed) {
        new RandomRun(seed, RetryPolicy.IDEMPOTENT).run();
    }

    // A caller would miss or repeat events if a resumed stream did not continue right after the last event.
    @Property(tries = 6000)
    void aResumedStreamContainsEachEventOnce(@ForAll long seed) {
        new RandomRun(seed, RetryPolicy.RESUMABLE_STREAM).run();
    }

    @Property(tries = 4000)
    void aSingleRunStreamIsNeverResumed(@ForAll long seed) {
        new RandomRun(seed, RetryPolicy.AT_MOST_ONCE_STREAM).run();
    }

    /** One run of random steps, checked by an oracle. */
    private static final class RandomRun {
        private final SplittableRandom random;
        private final RetryPolicy rule;
        private final RequestHarness world = new RequestHarness();
        private final RecordedAnswer answer = new RecordedAnswer();
        private final Map<FakeTargets.SentRequest, Long> events = new HashMap<>();
        private final List<FakeTargets.SentRequest> withHead = new ArrayList<>();
        private final List<FakeTargets.SentRequest> begun = new ArrayList<>();
        private boolean callerGone;
        private boolean ended;

        private RandomRun(long seed, RetryPolicy rule) {
            this.random = new SplittableRandom(seed);
            this.rule = rule;
        }

        private void run() {
            world.startWithRoute(rule, MAXIMUM_TARGETS)
                    .addTarget("a")
                    .addTarget("b")
                    .addTarget("c");
            Cancellable caller = world.receive(answer, RequestHarness.KEY, Optional.empty());
            for (int step = 0; step < STEPS; step++) {
                step(caller);
                check();
            }
            world.time().advance(RequestHarness.TIMEOUT.plusSeconds(1));
            check();
            assertThat(answer.isEnded() || callerGone).isTrue();
            assertThat(world.targets().openRequests()).isEmpty();
            assertThat(world.openExchanges()).isZero();
            assertThat(world.answerMemory().heldBytes()).isZero();
        }

        private void step(Cancellable caller) {
            world.targets().setConnecting(random.nextInt(3) > 0);
            List<FakeTargets.SentRequest> open = world.targets().openRequests();
            if (open.isEmpty() || random.nextInt(12) == 0) {
                world.time().advance(Duration.ofMillis(random.nextInt(900)));
                return;
            }
            if (random.nextInt(60) == 0) {
                callerGone = !answer.isEnded();
                caller.cancel();
                return;
            }
            act(open.get(random.nextInt(open.size())));
        }

        private void act(FakeTargets.SentRequest sent) {
            if (!sent.isWritten()) {
                if (random.nextInt(4) == 0) {
                    sent.fail(false);
                } else {
                    sent.connect();
                }
                return;
            }
            boolean hasHead = withHead.contains(sent);
            switch (random.nextInt(hasHead ? 5 : 4)) {
                case 0 -> begin(sent, () -> sent.fail(true));
                case 1 -> {
                    if (hasHead) {
                        begin(sent, () -> sent.fail(true));
                    } else if (random.nextBoolean()) {
                        sent.fail(false);
                    } else {
                        sent.answerNotExecuted(random.nextBoolean() ? NotExecuted.SHED : NotExecuted.ANOTHER_TARGET);
                    }
                }
                case 2, 3 -> {
                    if (hasHead) {
                        part(sent);
                    } else {
                        withHead.add(sent);
                        begin(sent, () -> sent.answerHead(random.nextInt(4) == 0 ? 500 : 200, rule.isStream()));
                    }
                }
                default -> {
                    ended = true;
                    sent.endAnswer();
                }
            }
        }

        private void begin(FakeTargets.SentRequest sent, Runnable action) {
            begun.add(sent);
            action.run();
        }

        private void part(FakeTargets.SentRequest sent) {
            if (!rule.isStream()) {
                sent.answerPart("body of " + sent.target().id().value());
                return;
            }
            long last = events.getOrDefault(sent, sent.metadata().lastEvent().orElse(0));
            long next = random.nextInt(25) == 0 ? last + 2 : last + 1;
            events.put(sent, next);
            String event = "id: " + next + "\ndata: x\n\n";
            sent.answerPart(random.nextInt(20) == 0 ? event.substring(0, event.length() - 3) : event);
        }

        private void check() {
            assertThat(answer.terminationCount()).isLessThanOrEqualTo(1);
            assertThat(answer.headCount()).isLessThanOrEqualTo(1);
            checkOpenRequests();
            checkRuns();
            checkEvents();
        }

        /** A request waits for a connection beside its silent attempt, which ends before the request is written there. */
        private void checkOpenRequests() {
            List<FakeTargets.SentRequest> open = world.targets().openRequests();
            assertThat(open).hasSizeLessThanOrEqualTo(rule.allowsRerun() ? 2 : 1);
            assertThat(open)
                    .as("requests at targets")
                    .filteredOn(FakeTargets.SentRequest::isWritten)
                    .hasSizeLessThanOrEqualTo(1);
        }

        private void checkRuns() {
            long targets =
                    begun.stream().map(sent -> sent.target().id()).distinct().count();
            assertThat(targets).isLessThanOrEqualTo(rule.allowsRerun() ? MAXIMUM_TARGETS : 1);
            boolean saysNotRun = answer.isEnded() && (answer.status() == 503 || answer.status() == 429);
            if (saysNotRun) {
                assertThat(begun)
                        .as("attempts begun although \"not run\" was answered")
                        .isEmpty();
            }
        }

        private void checkEvents() {
            long expected = 1;
            for (String line : answer.text().split("\n")) {
                if (rule.isStream() && answer.status() == 200 && line.startsWith("id: ")) {
                    assertThat(Long.parseLong(line.substring(4))).isEqualTo(expected);
                    expected++;
                }
            }
            if (answer.isComplete() && answer.status() == 200) {
                assertThat(ended)
                        .as("the answer is complete only if a target ended it")
                        .isTrue();
            }
        }
    }
}
