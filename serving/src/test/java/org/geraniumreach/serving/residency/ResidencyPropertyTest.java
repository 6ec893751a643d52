package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.serving.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/*
 * Guards against evicting the adapter of a running request, whose caller would get another adapter's answer or a broken
 * stream. Requests start and end, and loads succeed, fail or end after a restart of the engine, in any order. The model
 * holds the pins, the engine's adapters and the waiting requests.
 */
class ResidencyPropertyTest {

    private static final int SLOTS = 3;
    private static final int ADAPTERS = 6;
    private static final int MAXIMUM_ROUNDS_TO_FINISH = 400;

    private enum Kind {
        REQUEST,
        PIN,
        RELEASE,
        START_LOADS,
        LOADED,
        FAILED,
        CANCEL,
        ADVANCE_CLOCK,
        RESTART,
        SYNCHRONISE
    }

    private record Step(Kind kind, int choice) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Kind> kinds = Arbitraries.frequencyOf(
                Tuple.of(12, Arbitraries.just(Kind.REQUEST)),
                Tuple.of(8, Arbitraries.just(Kind.PIN)),
                Tuple.of(5, Arbitraries.just(Kind.RELEASE)),
                Tuple.of(8, Arbitraries.just(Kind.START_LOADS)),
                Tuple.of(7, Arbitraries.just(Kind.LOADED)),
                Tuple.of(1, Arbitraries.just(Kind.FAILED)),
                Tuple.of(2, Arbitraries.just(Kind.CANCEL)),
                Tuple.of(4, Arbitraries.just(Kind.ADVANCE_CLOCK)),
                Tuple.of(1, Arbitraries.just(Kind.RESTART)),
                Tuple.of(1, Arbitraries.just(Kind.SYNCHRONISE)));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 999))
                .as(Step::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(200);
    }

    @Property(seed = "11", tries = 400)
    void pinnedAdaptersStaySlotsAreNotExceededAndEachRequestGetsOneResult(@ForAll("steps") List<Step> steps) {
        Model model = new Model();
        steps.forEach(model::apply);
        model.finish();
    }

    /** Applies each step to the residency and to the expected state, and compares them. */
    private static final class Model {
        private final ManualClock clock = new ManualClock();
        private final Residency residency = Residency.create(
                ResidencySettings.standard(SLOTS), FleetLoads.create(clock, Duration.ofSeconds(1)), clock);
        private final Set<AdapterReference> held = new HashSet<>();
        private final Map<AttemptId, AdapterReference> waiting = new HashMap<>();
        private final List<Pin> pins = new ArrayList<>();
        private final List<AdapterLoadCommand> commands = new ArrayList<>();
        private long incarnation = 1;
        private int attemptCount;

        private Model() {
            residency.synchronise(incarnation, held, clock.nanos());
        }

        private void apply(Step step) {
            switch (step.kind()) {
                case REQUEST -> request(step.choice() % ADAPTERS);
                case PIN -> pin(step.choice());
                case RELEASE -> choose(pins, step.choice()).forEach(this::release);
                case START_LOADS -> startLoads();
                case LOADED -> choose(commands, step.choice()).forEach(this::completeLoad);
                case FAILED -> choose(commands, step.choice()).forEach(this::failLoad);
                case CANCEL -> choose(new ArrayList<>(waiting.keySet()), step.choice())
                        .forEach(this::cancel);
                case ADVANCE_CLOCK -> clock.advance(Duration.ofMillis(step.choice()));
                case RESTART -> restart();
                default -> residency.synchronise(incarnation, held, clock.nanos());
            }
            checkSlots();
        }

        private static <E> List<E> choose(List<E> candidates, int choice) {
            return candidates.isEmpty() ? List.of() : List.of(candidates.get(choice % candidates.size()));
        }

        private void request(int adapter) {
            AttemptId attempt = AttemptId.of("attempt-" + ++attemptCount);
            AdapterReference reference = AdapterReference.of("adapter-" + adapter, "1");
            if (residency
                            .request(attempt, AccountId.of("account-" + attemptCount % 2), reference, 100)
                            .state()
                    != AdapterRequestResult.State.REFUSED) {
                waiting.put(attempt, reference);
            }
        }

        private void pin(int choice) {
            for (AttemptId attempt : choose(new ArrayList<>(waiting.keySet()), choice)) {
                residency.pin(attempt, waiting.get(attempt)).ifPresent(pin -> {
                    assertThat(held)
                            .as("a pinned adapter is held by the engine")
                            .contains(pin.adapter());
                    waiting.remove(attempt);
                    pins.add(pin);
                });
            }
        }

        private void release(Pin pin) {
            pin.release();
            pin.release();
            pins.remove(pin);
        }

        private void startLoads() {
            for (AdapterLoadCommand command : residency.startLoads()) {
                command.evicted().ifPresent(evicted -> {
                    assertThat(pins).as("pins of the evicted adapter").noneMatch(pin -> pin.adapter()
                            .equals(evicted));
                    assertThat(held.remove(evicted))
                            .as("the evicted adapter was held")
                            .isTrue();
                });
                assertThat(commands).as("other loads of the same adapter").noneMatch(other -> other.adapter()
                        .equals(command.adapter()));
                commands.add(command);
            }
        }

        private void completeLoad(AdapterLoadCommand command) {
            commands.remove(command);
            held.add(command.adapter());
            assertThat(residency.onLoaded(command)).isTrue();
            assertThat(residency.onLoaded(command)).as("reported twice").isFalse();
        }

        private void failLoad(AdapterLoadCommand command) {
            commands.remove(command);
            for (AttemptId attempt : residency.onLoadFailed(command)) {
                assertThat(waiting.remove(attempt))
                        .as("removed request was waiting for the adapter")
                        .isEqualTo(command.adapter());
            }
            assertThat(waiting.values())
                    .as("requests still waiting for the failed adapter")
                    .doesNotContain(command.adapter());
        }

        private void cancel(AttemptId attempt) {
            assertThat(residency.cancel(attempt)).isTrue();
            waiting.remove(attempt);
        }

        private void restart() {
            List<AdapterLoadCommand> earlierCommands = List.copyOf(commands);
            commands.clear();
            held.clear();
            residency.synchronise(++incarnation, held, clock.nanos());
            pins.forEach(Pin::release);
            pins.clear();
            earlierCommands.forEach(
                    command -> assertThat(residency.onLoaded(command)).isFalse());
            assertThat(residency.resident()).isEmpty();
        }

        private void checkSlots() {
            assertThat(residency.resident()).isEqualTo(held);
            assertThat(held.size() + commands.size()).as("slots used").isLessThanOrEqualTo(SLOTS);
        }

        /* Every waiting request eventually gets its adapter if running requests end and loads succeed. */
        private void finish() {
            for (int round = 0; round < MAXIMUM_ROUNDS_TO_FINISH && !waiting.isEmpty(); round++) {
                clock.advance(Duration.ofMillis(500));
                List.copyOf(pins).forEach(this::release);
                startLoads();
                List.copyOf(commands).forEach(this::completeLoad);
                for (int index = 0; index < attemptCount && !waiting.isEmpty(); index++) {
                    pin(index);
                }
                checkSlots();
            }
            assertThat(waiting).as("requests that never got their adapter").isEmpty();
        }
    }
}
