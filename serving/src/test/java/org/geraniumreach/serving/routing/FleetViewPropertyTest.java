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
 * Guards against loading an adapter that is resident elsewhere, and against routing to a target that has evicted it.
 * Targets join, leave, report changes, drain and restart their engines, while this entry sends requests that reports
 * include or do not include yet. The model holds the actual adapters and requests of each target.
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
        Model model = new Model();
        steps.forEach(model::apply);
    }

    /** The actual state of a target. */
    private static final class ActualTarget {
        private final Set<AdapterReference> resident = new HashSet<>();
        private Set<AdapterReference> reported = new HashSet<>();
        private final List<SentRequest> unaccepted = new ArrayList<>();
        private final List<SentRequest> accepted = new ArrayList<>();
        private long incarnation = 1;
        private long reportedIncarnation;
        private long sequence;
        private boolean draining;
    }

    /** Applies each step to the view and to the expected state, and compares them. */
    private static final class Model {
        private final ManualClock clock = new ManualClock();
        private final FleetView fleet = FleetView.create(clock);
        private final Map<Integer, ActualTarget> targets = new HashMap<>();
        private final TargetFilter filter = target -> !target.equals(id(0));

        private static TargetId id(int number) {
            return TargetId.of("target-" + number);
        }

        private void apply(Step step) {
            ActualTarget actual = targets.get(step.target());
            if (step.kind() == Kind.JOIN) {
                join(step.target());
            } else if (actual != null) {
                apply(step, actual);
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

        private void apply(Step step, ActualTarget actual) {
            AdapterReference adapter = AdapterReference.of("adapter-" + step.choice() % ADAPTERS, "1");
            switch (step.kind()) {
                case LEAVE -> leave(step.target());
                case LOAD -> actual.resident.add(adapter);
                case UNLOAD -> actual.resident.remove(adapter);
                case RESTART -> restart(actual);
                case DRAIN -> drain(actual);
                case SEND -> actual.unaccepted.add(fleet.recordSent(id(step.target())));
                case ACCEPT -> accept(actual);
                case END -> end(actual, step.choice());
                default -> report(step, actual);
            }
        }

        private void leave(int number) {
            fleet.leave(id(number));
            targets.remove(number);
        }

        private static void restart(ActualTarget actual) {
            actual.incarnation++;
            actual.resident.clear();
        }

        private static void drain(ActualTarget actual) {
            actual.draining = !actual.draining;
        }

        private static void accept(ActualTarget actual) {
            if (!actual.unaccepted.isEmpty()) {
                SentRequest request = actual.unaccepted.remove(0);
                request.onAccepted();
                actual.accepted.add(request);
            }
        }

        private static void end(ActualTarget actual, int choice) {
            List<SentRequest> requests = choice % 2 == 0 ? actual.accepted : actual.unaccepted;
            if (!requests.isEmpty()) {
                SentRequest request = requests.remove(choice % requests.size());
                request.onEnded();
                request.onEnded();
                request.onAccepted();
            }
        }

        private void report(Step step, ActualTarget actual) {
            boolean complete = step.choice() % 3 == 0 || actual.sequence == 0;
            boolean restarted = actual.reportedIncarnation != actual.incarnation;
            Set<AdapterReference> added = new HashSet<>(actual.resident);
            Set<AdapterReference> removed = new HashSet<>(actual.reported);
            if (!complete && !restarted) {
                added.removeAll(actual.reported);
                removed.removeAll(actual.resident);
            } else {
                removed.clear();
            }
            actual.reported = new HashSet<>(actual.resident);
            actual.reportedIncarnation = actual.incarnation;
            TargetStatus status = new TargetStatus(
                    id(step.target()),
                    ++actual.sequence,
                    actual.incarnation,
                    actual.accepted.size(),
                    0,
                    0,
                    4,
                    4,
                    complete,
                    added,
                    removed,
                    Set.of(),
                    actual.draining,
                    0);
            assertThat(fleet.apply(status)).isTrue();
            assertThat(complete || !fleet.apply(status))
                    .as("duplicate report is ignored")
                    .isTrue();
        }

        private void check() {
            targets.forEach((number, actual) -> {
                TargetView view = fleet.find(id(number)).orElseThrow();
                assertThat(view.load()).as("load").isEqualTo(actual.unaccepted.size() + actual.accepted.size());
                assertThat(view.resident()).isEqualTo(actual.reported);
            });
            assertThat(fleet.views(MODEL)).as("members").noneMatch(TargetView::draining);
            for (int number = 0; number < ADAPTERS; number++) {
                AdapterReference adapter = AdapterReference.of("adapter-" + number, "1");
                Set<TargetId> holders = new HashSet<>();
                targets.forEach((target, actual) -> {
                    if (actual.reported.contains(adapter)) {
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
                        .as("a target is found if one is allowed")
                        .isEqualTo(!allowed.isEmpty());
                route.ifPresent(found -> assertThat(allowed).contains(found.target()));
            }
        }
    }
}
