package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.limit.RequestLimiter;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.OrderedOwners;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.TargetId;

import static org.assertj.core.api.Assertions.assertThat;

/** Repeats the results of the steps before a write in any order, also late and after the end of the request. */
class RepeatedStepResultsTest {

    private static final int STEPS = 50;
    private static final int MAXIMUM_TARGETS = 2;
    private static final GatewayRequest.Generation GENERATION = new GatewayRequest.Generation(
            "base", Optional.of(new AdapterName("base", "a7")), 100, 50, OptionalLong.empty(), List.of());

    /** Guards against a request that is written twice, since a step has answered twice or late. */
    @Property(tries = 3000)
    void aSingleRunRequestIsWrittenOnceWithoutEvidence(@ForAll long seed) {
        new RandomRun(seed, RetryPolicy.AT_MOST_ONCE).run();
    }

    /** Guards against the same for streams that may not be resumed. */
    @Property(tries = 3000)
    void aSingleRunStreamIsWrittenOnceWithoutEvidence(@ForAll long seed) {
        new RandomRun(seed, RetryPolicy.AT_MOST_ONCE_STREAM).run();
    }

    /** Guards against runs at two targets at a time, or at more targets than the route allows. */
    @Property(tries = 3000)
    void anIdempotentRequestRunsAtOneTargetAtATime(@ForAll long seed) {
        new RandomRun(seed, RetryPolicy.IDEMPOTENT).run();
    }

    /** Guards against the same for streams that may be resumed. */
    @Property(tries = 3000)
    void aResumableStreamRunsAtOneTargetAtATime(@ForAll long seed) {
        new RandomRun(seed, RetryPolicy.RESUMABLE_STREAM).run();
    }

    /** One run of random steps, checked by an oracle. */
    private static final class RandomRun {
        private final SplittableRandom random;
        private final RetryPolicy rule;
        private final RequestHarness world = new RequestHarness();
        private final RecordedAnswer answer = new RecordedAnswer();
        private final List<Runnable> results = new ArrayList<>();
        private final Set<SentRequest> withEvidence = new HashSet<>();
        private final Set<SentRequest> withHead = new HashSet<>();

        private RandomRun(long seed, RetryPolicy rule) {
            this.random = new SplittableRandom(seed);
            this.rule = rule;
        }

        private void run() {
            Map<String, Map<String, Long>> models = Map.of("base", Map.of("a7", 1L));
            OrderedOwners owners = (target, id, request, callback) -> {
                results.add(() -> callback.accept(TargetAdmission.Decision.IMMEDIATE));
                return () -> {};
            };
            if (random.nextBoolean()) {
                world.setTargetAdmission(owners);
            }
            world.setLimiter((target, callback) -> {
                results.add(() -> callback.accept(RequestLimiter.Decision.UNLIMITED));
                return Cancellable.NOOP;
            });
            world.startWithRoute(rule, MAXIMUM_TARGETS);
            Stream.of("a", "b", "c").forEach(target -> world.addTarget(target, models));
            Cancellable caller = world.receive(answer, RequestHarness.KEY, Optional.of(GENERATION));
            for (int step = 0; step < STEPS; step++) {
                step(caller);
                check();
            }
            world.time().advance(RequestHarness.TIMEOUT.plusSeconds(1));
            List.copyOf(results).forEach(Runnable::run);
            check();
            assertThat(world.openExchanges()).isZero();
        }

        private void step(Cancellable caller) {
            world.targets().setConnecting(random.nextInt(3) > 0);
            List<SentRequest> open = world.targets().openRequests();
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> {
                    if (!results.isEmpty()) {
                        results.get(random.nextInt(results.size())).run();
                    }
                }
                case 3 -> world.time().advance(Duration.ofMillis(random.nextInt(2_500)));
                case 4 -> world.adapters().notifyWaiters();
                case 5 -> {
                    if (random.nextInt(20) == 0) {
                        caller.cancel();
                    }
                }
                default -> {
                    if (!open.isEmpty()) {
                        act(open.get(random.nextInt(open.size())));
                    }
                }
            }
        }

        private void act(SentRequest sent) {
            if (!sent.isWritten()) {
                sent.connect();
                return;
            }
            if (withHead.contains(sent)) {
                sent.answerPart("id: " + (sent.metadata().lastEvent().orElse(0) + 1) + "\ndata: x\n\n");
                sent.fail(true);
                return;
            }
            switch (random.nextInt(4)) {
                case 0 -> sent.fail(true);
                case 1 -> {
                    withHead.add(sent);
                    sent.answerHead(200, rule.isStream());
                }
                default -> {
                    withEvidence.add(sent);
                    sent.answerNotExecuted(random.nextBoolean() ? NotExecuted.SHED : NotExecuted.NOT_RESIDENT);
                }
            }
        }

        private void check() {
            List<SentRequest> runs = world.targets().sentRequests().stream()
                    .filter(sent -> sent.isWritten() && !withEvidence.contains(sent))
                    .toList();
            if (!rule.allowsRerun()) {
                assertThat(runs).hasSizeLessThanOrEqualTo(1);
            }
            Set<TargetId> targets = new HashSet<>();
            runs.forEach(sent -> targets.add(sent.target().id()));
            assertThat(targets).hasSizeLessThanOrEqualTo(MAXIMUM_TARGETS);
            assertThat(world.targets().sentRequests())
                    .extracting(SentRequest::workingBeside)
                    .allMatch(others -> others == 0);
            boolean saysNotRun = answer.isEnded() && (answer.status() == 503 || answer.status() == 429);
            assertThat(saysNotRun && !runs.isEmpty()).isFalse();
        }
    }
}
