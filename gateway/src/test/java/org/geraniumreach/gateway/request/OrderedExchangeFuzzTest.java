package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.admission.AdmissionDecision.Reason;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.testing.FakeTargets;
import org.geraniumreach.gateway.testing.OrderedOwners;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs a request whose targets' owners decide at random against random sequences of target, caller and clock events.
 *
 * <p>A longer run with new seeds: {@code mvn -pl gateway -am verify -Dtest=OrderedExchangeFuzzTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Djqwik.tries.default=200000}; a failure prints its seed.
 */
class OrderedExchangeFuzzTest {

    private static final int STEPS = 40;

    // If a request ran without an admission, its target would be overloaded; if an admission were not ended, its owner
    // would hold back the requests of all entries.
    @Property(tries = 3000)
    void aRequestRunsOnlyUnderAnAdmissionThatIsEndedOnce(@ForAll long seed) {
        new RandomRun(seed, RetryPolicy.RESUMABLE_STREAM).run();
    }

    @Property(tries = 3000)
    void aSingleRunRequestIsNotSentTwiceAndItsAdmissionIsEndedOnce(@ForAll long seed) {
        new RandomRun(seed, RetryPolicy.AT_MOST_ONCE_STREAM).run();
    }

    /** One run of random steps, checked by an oracle. */
    private static final class RandomRun implements OrderedOwners {
        private final SplittableRandom random;
        private final RetryPolicy rule;
        private final RequestHarness world = new RequestHarness();
        private final RecordedAnswer answer = new RecordedAnswer();
        private final List<Asked> asked = new ArrayList<>();
        private final List<FakeTargets.SentRequest> begun = new ArrayList<>();
        private boolean callerGone;

        private static final class Asked {
            private final Target target;
            private final Consumer<Decision> callback;
            private boolean decided;
            private boolean admitted;
            private int ends;

            private Asked(Target target, Consumer<Decision> callback) {
                this.target = target;
                this.callback = callback;
            }

            private boolean isWaiting() {
                return !decided && ends == 0;
            }
        }

        private RandomRun(long seed, RetryPolicy rule) {
            this.random = new SplittableRandom(seed);
            this.rule = rule;
        }

        @Override
        public Admission request(
                Target target, String requestId, AdmissionRequest request, Consumer<Decision> callback) {
            Asked added = new Asked(target, callback);
            asked.add(added);
            if (random.nextBoolean()) {
                decide(added);
            }
            return () -> added.ends++;
        }

        private void decide(Asked waiting) {
            waiting.decided = true;
            waiting.admitted = random.nextInt(3) > 0;
            waiting.callback.accept(waiting.admitted ? admission() : rejection());
        }

        private Decision admission() {
            return new Decision(true, Duration.ofMillis(random.nextBoolean() ? 0 : random.nextInt(80)));
        }

        private Decision rejection() {
            Reason reason = Reason.values()[random.nextInt(Reason.values().length)];
            Duration retryAfter = Duration.ofMillis(random.nextInt(12_000));
            return Decision.rejected(new Rejection(retryAfter, reason, random.nextBoolean()));
        }

        private void run() {
            world.setTargetAdmission(this);
            world.startWithRoute(rule, 2);
            for (String name : List.of("a", "b", "c", "d")) {
                world.addTarget(name, Map.of("base", Map.of("a7", 1L)));
            }
            Cancellable caller = world.receive(
                    answer,
                    RequestHarness.KEY,
                    Optional.of(new GatewayRequest.Generation(
                            "base", Optional.of(new AdapterName("base", "a7")), 100, 50, List.of())));
            for (int step = 0; step < STEPS; step++) {
                step(caller);
                check();
            }
            world.time().advance(RequestHarness.TIMEOUT.plusSeconds(1));
            check();
            assertThat(answer.isEnded() || callerGone).isTrue();
            assertThat(world.openExchanges()).isZero();
            assertThat(asked).extracting(each -> each.ends).allMatch(ends -> ends == 1);
        }

        private void step(Cancellable caller) {
            List<Asked> waiting = asked.stream().filter(Asked::isWaiting).toList();
            List<FakeTargets.SentRequest> open = world.targets().openRequests();
            if (random.nextInt(60) == 0) {
                callerGone = !answer.isEnded();
                caller.cancel();
            } else if (!waiting.isEmpty() && random.nextBoolean()) {
                decide(waiting.get(0));
            } else if (!open.isEmpty() && random.nextInt(3) > 0) {
                act(open.get(0));
            } else {
                world.time().advance(Duration.ofMillis(random.nextInt(700)));
            }
        }

        private void act(FakeTargets.SentRequest sent) {
            switch (random.nextInt(4)) {
                case 0 -> {
                    begun.add(sent);
                    sent.fail(true);
                }
                case 1 -> sent.fail(false);
                case 2 -> sent.answerNotExecuted(NotExecuted.SHED);
                default -> {
                    begun.add(sent);
                    sent.answerHead(200, true);
                    sent.endAnswer();
                }
            }
        }

        private static boolean runsAt(List<FakeTargets.SentRequest> open, Target target) {
            return open.stream().anyMatch(sent -> sent.target() == target);
        }

        private void check() {
            List<FakeTargets.SentRequest> open = world.targets().openRequests();
            assertThat(open).as("requests at targets").hasSizeLessThanOrEqualTo(1);
            assertThat(answer.terminationCount()).isLessThanOrEqualTo(1);
            List<Asked> unended = asked.stream().filter(each -> each.ends == 0).toList();
            assertThat(unended)
                    .as("admissions at targets at which the request does not run")
                    .filteredOn(each -> !runsAt(open, each.target))
                    .hasSizeLessThanOrEqualTo(1);
            assertThat(unended)
                    .as("admissions at targets at which the request runs")
                    .filteredOn(each -> runsAt(open, each.target))
                    .hasSizeLessThanOrEqualTo(open.size());
            open.forEach(sent -> assertThat(asked)
                    .as("the admission under which the request runs")
                    .anyMatch(each -> each.admitted && each.ends == 0 && each.target == sent.target()));
            boolean saysNotRun = answer.isEnded() && answer.status() == 503;
            if (saysNotRun) {
                assertThat(begun).isEmpty();
            }
            assertThat(begun).hasSizeLessThanOrEqualTo(rule.allowsRerun() ? STEPS : 1);
        }
    }
}
