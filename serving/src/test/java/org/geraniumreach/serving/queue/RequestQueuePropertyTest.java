package org.geraniumreach.serving.queue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.serving.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/*
 * Guards against requests that are lost, run twice or are passed over too often by later ones. Requests of several
 * accounts arrive, run, end and are cancelled in any order, while adapters become ready and unready. The model holds
 * each request's state and counts how many later requests of its account ran while it was ready.
 */
class RequestQueuePropertyTest {

    private static final int CONCURRENCY_LIMIT = 4;
    private static final int ADAPTERS = 5;
    private static final int ACCOUNTS = 3;
    private static final int PASSED_OVER_AT_MOST = 3;

    private enum Kind {
        OFFER,
        TAKE,
        FINISH,
        REMOVE,
        TOGGLE_READY,
        EXPIRE
    }

    private record Step(Kind kind, int choice) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Kind> kinds = Arbitraries.of(
                Kind.OFFER,
                Kind.OFFER,
                Kind.OFFER,
                Kind.TAKE,
                Kind.TAKE,
                Kind.FINISH,
                Kind.FINISH,
                Kind.REMOVE,
                Kind.TOGGLE_READY,
                Kind.EXPIRE);
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 999))
                .as(Step::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(300);
    }

    @Property(seed = "21", tries = 300)
    void fairQueueRunsEachRequestOnceAndBoundsHowOftenItIsPassedOver(@ForAll("steps") List<Step> steps) {
        Model model = new Model(QueuePolicy.FAIR);
        steps.forEach(model::apply);
        model.finish();
    }

    @Property(seed = "22", tries = 100)
    void firstComeQueueRunsEachRequestOnceInOrderOfArrival(@ForAll("steps") List<Step> steps) {
        Model model = new Model(QueuePolicy.FIRST_COME);
        steps.forEach(model::apply);
        model.finish();
    }

    /** Applies each step to the queue and to the expected state, and compares them. */
    private static final class Model {
        private final ManualClock clock = new ManualClock();
        private final int passedOverBound;
        private final RequestQueue<Integer> queue;
        private final List<QueuedRequest<Integer>> waiting = new ArrayList<>();
        private final List<QueuedRequest<Integer>> running = new ArrayList<>();
        private final Map<AttemptId, Integer> passedOverCounts = new HashMap<>();
        private final Set<AdapterReference> readyAdapters = new HashSet<>();
        private int arrivals;

        private Model(QueuePolicy policy) {
            passedOverBound = policy == QueuePolicy.FAIR ? PASSED_OVER_AT_MOST : 0;
            queue = RequestQueue.create(
                    policy,
                    new QueueWeights(PASSED_OVER_AT_MOST, 50, 1.25),
                    ConcurrencyLimit.fixed(CONCURRENCY_LIMIT),
                    clock);
        }

        private void apply(Step step) {
            switch (step.kind()) {
                case OFFER -> offer(step.choice());
                case TAKE -> take();
                case FINISH -> finish(step.choice());
                case REMOVE -> remove(step.choice());
                case TOGGLE_READY -> toggleReady(step.choice());
                default -> expire(step.choice());
            }
            checkCounts();
        }

        private void offer(int choice) {
            Optional<AdapterReference> adapter =
                    choice % 7 == 0 ? Optional.empty() : Optional.of(adapter(choice % ADAPTERS));
            QueuedRequest<Integer> request = new QueuedRequest<>(
                    AttemptId.of("attempt-" + arrivals),
                    AccountId.of("account-" + choice / ADAPTERS % ACCOUNTS),
                    adapter,
                    1 + choice % 40,
                    choice % 10,
                    clock.nanos() + Duration.ofSeconds(1 + choice).toNanos(),
                    arrivals++);
            assertThat(queue.offer(request)).isTrue();
            assertThat(queue.offer(request)).as("offered twice").isFalse();
            waiting.add(request);
        }

        private static AdapterReference adapter(int number) {
            return AdapterReference.of("adapter-" + number, "1");
        }

        private boolean isReady(QueuedRequest<Integer> request) {
            return request.adapter().map(readyAdapters::contains).orElse(true);
        }

        private boolean take() {
            Optional<QueuedRequest<Integer>> taken = queue.take(readyAdapters::contains);
            boolean possible =
                    running.size() < CONCURRENCY_LIMIT && waiting.stream().anyMatch(this::isReady);
            assertThat(taken.isPresent())
                    .as("a request is taken whenever one can run")
                    .isEqualTo(possible);
            taken.ifPresent(this::onStarted);
            return taken.isPresent();
        }

        private void onStarted(QueuedRequest<Integer> request) {
            assertThat(waiting.remove(request)).as("was waiting").isTrue();
            assertThat(isReady(request)).isTrue();
            running.add(request);
            for (QueuedRequest<Integer> other : waiting) {
                boolean isPassedOver = other.account().equals(request.account()) && other.payload() < request.payload();
                if (isPassedOver && isReady(other)) {
                    assertThat(passedOverCounts.merge(other.attempt(), 1, Integer::sum))
                            .as("passed over")
                            .isLessThanOrEqualTo(passedOverBound);
                }
            }
        }

        private void finish(int choice) {
            if (!running.isEmpty()) {
                QueuedRequest<Integer> finished = running.remove(choice % running.size());
                queue.onFinished(finished.attempt(), 1 + choice % finished.tokens(), choice % 3);
                queue.onFinished(finished.attempt(), 1, 1);
            }
        }

        private void remove(int choice) {
            if (!waiting.isEmpty()) {
                QueuedRequest<Integer> removed = waiting.remove(choice % waiting.size());
                assertThat(queue.remove(removed.attempt())).contains(removed);
                assertThat(queue.remove(removed.attempt())).isEmpty();
            }
        }

        private void toggleReady(int choice) {
            AdapterReference adapter = adapter(choice % ADAPTERS);
            if (!readyAdapters.remove(adapter)) {
                readyAdapters.add(adapter);
            }
        }

        private void expire(int choice) {
            clock.advance(Duration.ofMillis(choice));
            for (QueuedRequest<Integer> expired : queue.removeExpired()) {
                assertThat(expired.deadlineNanos()).isLessThanOrEqualTo(clock.nanos());
                assertThat(waiting.remove(expired)).isTrue();
            }
        }

        private void checkCounts() {
            assertThat(queue.waitingCount()).isEqualTo(waiting.size());
            assertThat(queue.runningCount()).isEqualTo(running.size());
            assertThat(queue.waitingTokens())
                    .isEqualTo(waiting.stream().mapToLong(QueuedRequest::tokens).sum());
        }

        private void finish() {
            for (int number = 0; number < ADAPTERS; number++) {
                readyAdapters.add(adapter(number));
            }
            while (!waiting.isEmpty()) {
                while (take()) {
                    checkCounts();
                }
                finish(0);
            }
        }
    }
}
