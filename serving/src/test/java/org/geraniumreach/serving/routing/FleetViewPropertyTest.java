package org.geraniumreach.serving.routing;

import java.util.ArrayList;
import java.util.Arrays;
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
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.record.Target;
import org.geraniumreach.serving.ManualClock;
import org.geraniumreach.serving.prefix.PrefixDirectory;

import static org.assertj.core.api.Assertions.assertThat;

/*
 * A caller waits for a load although its adapter is resident somewhere, or is sent where it is no more. Targets join, leave,
 * report changes, drain, and their engines restart, while this entry sends requests that the reports hold or do not hold
 * yet. The oracle is what each target really has, and the requests that are really there.
 */
class FleetViewPropertyTest {

    private static final int TARGETS = 5;
    private static final int ADAPTERS = 6;
    private static final Offering MODEL = Offering.ofBaseModel("model");

    private enum Kind {
        JOIN,
        LEAVE,
        LOAD,
        UNLOAD,
        RESTART,
        REPORT,
        DRAIN,
        SEND,
        ACCEPT,
        END
    }

    private record Step(Kind kind, int target, int choice) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Kind> kinds = Arbitraries.of(
                Kind.JOIN,
                Kind.JOIN,
                Kind.LEAVE,
                Kind.LOAD,
                Kind.LOAD,
                Kind.UNLOAD,
                Kind.RESTART,
                Kind.REPORT,
                Kind.REPORT,
                Kind.REPORT,
                Kind.DRAIN,
                Kind.SEND,
                Kind.SEND,
                Kind.ACCEPT,
                Kind.END);
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, TARGETS - 1),
                        Arbitraries.integers().between(0, 999))
                .as(Step::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(200);
    }

    @Property(seed = "31", tries = 300)
    void viewMatchesReportsAndRoutersChooseOnlyAllowedTargets(@ForAll("steps") List<Step> steps) {
        Model oracle = new Model();
        steps.forEach(oracle::apply);
    }

    /** A target as it really is. */
    private static final class ActualTarget {
        private final Set<AdapterReference> resident = new HashSet<>();
        private Set<AdapterReference> reported = new HashSet<>();
        private final List<Sending> unaccepted = new ArrayList<>();
        private final List<Sending> accepted = new ArrayList<>();
        private long incarnation = 1;
        private long reportedIncarnation;
        private long sequence;
        private boolean draining;
    }

    /** What must be, beside what is. */
    private static final class Model {
        private final ManualClock clock = new ManualClock();
        private final FleetView fleet = FleetView.create(clock);
        private final Map<Integer, ActualTarget> targets = new HashMap<>();
        private final TargetFilter filter = target -> !target.equals(id(0));

        private static TargetId id(int number) {
            return TargetId.of("target-" + number);
        }

        private void apply(Step step) {
            ActualTarget real = targets.get(step.target());
            if (step.kind() == Kind.JOIN) {
                join(step.target());
            } else if (real != null) {
                apply(step, real);
            }
            check();
            route(step);
        }

        private void join(int number) {
            Target record =
                    new Target(id(number), FailureDomain.of("domain"), Optional.of("model"), Optional.empty(), 4, true);
            fleet.join(record, InstanceId.of("instance-" + number));
            targets.put(number, new ActualTarget());
        }

        private void apply(Step step, ActualTarget real) {
            AdapterReference adapter = AdapterReference.of("adapter-" + step.choice() % ADAPTERS, "1");
            switch (step.kind()) {
                case LEAVE -> leave(step.target());
                case LOAD -> real.resident.add(adapter);
                case UNLOAD -> real.resident.remove(adapter);
                case RESTART -> restart(real);
                case DRAIN -> drain(real);
                case SEND -> real.unaccepted.add(fleet.sent(id(step.target())));
                case ACCEPT -> accept(real);
                case END -> end(real, step.choice());
                default -> report(step, real);
            }
        }

        private void leave(int number) {
            fleet.leave(id(number));
            targets.remove(number);
        }

        private static void restart(ActualTarget real) {
            real.incarnation++;
            real.resident.clear();
        }

        private static void drain(ActualTarget real) {
            real.draining = !real.draining;
        }

        private static void accept(ActualTarget real) {
            if (!real.unaccepted.isEmpty()) {
                Sending sending = real.unaccepted.remove(0);
                sending.accepted();
                real.accepted.add(sending);
            }
        }

        private static void end(ActualTarget real, int choice) {
            List<Sending> from = choice % 2 == 0 ? real.accepted : real.unaccepted;
            if (!from.isEmpty()) {
                Sending sending = from.remove(choice % from.size());
                sending.ended();
                sending.ended();
                sending.accepted();
            }
        }

        private void report(Step step, ActualTarget real) {
            boolean complete = step.choice() % 3 == 0 || real.sequence == 0;
            boolean restarted = real.reportedIncarnation != real.incarnation;
            Set<AdapterReference> added = new HashSet<>(real.resident);
            Set<AdapterReference> removed = new HashSet<>(real.reported);
            if (!complete && !restarted) {
                added.removeAll(real.reported);
                removed.removeAll(real.resident);
            } else {
                removed.clear();
            }
            real.reported = new HashSet<>(real.resident);
            real.reportedIncarnation = real.incarnation;
            TargetStatus status = new TargetStatus(
                    id(step.target()),
                    ++real.sequence,
                    real.incarnation,
                    real.accepted.size(),
                    0,
                    0,
                    4,
                    4,
                    complete,
                    added,
                    removed,
                    Set.of(),
                    real.draining,
                    0);
            assertThat(fleet.apply(status)).isTrue();
            assertThat(complete || !fleet.apply(status))
                    .as("the same news again")
                    .isTrue();
        }

        private void check() {
            targets.forEach((number, real) -> {
                TargetView view = fleet.find(id(number)).orElseThrow();
                assertThat(view.load()).as("load").isEqualTo(real.unaccepted.size() + real.accepted.size());
                assertThat(view.resident()).isEqualTo(real.reported);
            });
            assertThat(fleet.views(MODEL)).as("members").noneMatch(TargetView::draining);
            for (int number = 0; number < ADAPTERS; number++) {
                AdapterReference adapter = AdapterReference.of("adapter-" + number, "1");
                Set<TargetId> holders = new HashSet<>();
                targets.forEach((target, real) -> {
                    if (real.reported.contains(adapter)) {
                        holders.add(id(target));
                    }
                });
                assertThat(Arrays.stream(fleet.holders(adapter)).map(TrackedTarget::target))
                        .containsExactlyInAnyOrderElementsOf(holders);
            }
        }

        private void route(Step step) {
            RouteRequest request = RouteRequest.ofAdapter(
                            "model", AdapterReference.of("adapter-" + step.choice() % ADAPTERS, "1"))
                    .withExcluded(Set.of(id(step.choice() % TARGETS)));
            Set<TargetId> allowed = new HashSet<>();
            for (TargetView view : fleet.views(MODEL)) {
                boolean excluded = request.excluded().contains(view.target()) || !filter.admits(view.target());
                if (!excluded && !view.draining()) {
                    allowed.add(view.target());
                }
            }
            for (RoutingPolicy policy : RoutingPolicy.values()) {
                Optional<Route> route = Routers.of(policy, fleet, filter, PrefixDirectory.none())
                        .route(request);
                assertThat(route.isPresent())
                        .as("a target is found if there is one")
                        .isEqualTo(!allowed.isEmpty());
                route.ifPresent(found -> assertThat(allowed).contains(found.target()));
            }
        }
    }
}
