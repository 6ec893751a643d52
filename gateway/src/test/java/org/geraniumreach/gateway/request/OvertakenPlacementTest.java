package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

import org.geraniumreach.gateway.limit.RequestLimiter;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.testing.FakeOwners;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that wait between their placement and their write, while what the placement relied on comes to an end. */
class OvertakenPlacementTest {

    private static final double NO_RETRIES = 0;
    private static final int MAXIMUM_TARGETS = 3;
    private static final long OLDER = 3;
    private static final long NEWER = 4;
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);
    private static final Duration WAIT = Duration.ofMillis(300);
    private static final AdapterName ADAPTER = new AdapterName("base", "a7");
    private static final Optional<GatewayRequest.Generation> GENERATION =
            Optional.of(new GatewayRequest.Generation("base", Optional.of(ADAPTER), 10, 10, List.of()));

    private final RequestHarness world = new RequestHarness(NO_RETRIES);
    private final List<Target> placedAt = new ArrayList<>();
    private final FakeOwners owners = new FakeOwners();
    private Runnable permit = () -> {};

    /** What a placed request waits for. */
    private enum Wait {
        PACED_TURN,
        ORDERED_TURN,
        PERMISSION,
        CONNECTION
    }

    /** What ends the use of a target for the request. */
    private enum Change {
        DRAINING_ROW((fleet, target) -> fleet.registry().put(draining(target.description()))),
        REMOVED_ROW((fleet, target) -> fleet.registry().onRowRemoved(target.id())),
        ANNOUNCED((fleet, target) -> target.markLeaving()),
        VERSION_OUT_OF_FORCE((fleet, target) -> {
            fleet.registry().all().stream()
                    .filter(other -> other != target)
                    .forEach(other ->
                            other.learnResident(ADAPTER, NEWER, fleet.time().nanos()));
            fleet.adapters().setVersions(NEWER, NEWER);
        }),
        ADAPTER_UNLOADED(
                (fleet, target) -> target.learnAbsent(ADAPTER, fleet.time().nanos()));

        private final BiConsumer<RequestHarness, Target> action;

        Change(BiConsumer<RequestHarness, Target> action) {
            this.action = action;
        }
    }

    private static Stream<Arguments> overtaken() {
        return Stream.of(Wait.values()).flatMap(wait -> Stream.of(Change.values())
                .flatMap(change -> Stream.of(RetryPolicy.values()).map(policy -> Arguments.of(wait, change, policy))));
    }

    private static TargetDescription draining(TargetDescription row) {
        return new TargetDescription(
                row.id(),
                row.startedAt(),
                row.service(),
                row.softwareVersion(),
                row.address(),
                row.failureDomain(),
                row.slots(),
                true,
                Optional.of(Duration.ZERO),
                row.models());
    }

    private static Map<String, Map<String, Long>> holding(long version) {
        return Map.of("base", Map.of("a7", version));
    }

    /** Guards against work at a target that has left, or on a version out of force, since only the placement asked. */
    @ParameterizedTest
    @MethodSource("overtaken")
    void aRequestIsNotWrittenToATargetThatItsPlacementWouldNotSelectAnyMore(
            Wait wait, Change change, RetryPolicy policy) {
        RecordedAnswer answer = sendAndWait(wait, policy, "a", "b");
        Target first = placedAt.get(0);
        change.action.accept(world, first);
        end(wait);
        assertThat(written()).singleElement().satisfies(sent -> assertThat(sent.target())
                .isNotSameAs(first));
        written().get(0).answerHead(200, policy.isStream());
        written().get(0).answerPart("id: 1\ndata: x\n\n");
        written().get(0).endAnswer();
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.isComplete()).isTrue();
        assertThat(world.loggedFields(EventCode.WRITE_FORBIDDEN)).isEmpty();
    }

    /** Guards against a request that is placed again and again at the target that it may not be written to. */
    @ParameterizedTest
    @EnumSource(Wait.class)
    void aRequestWhoseOnlyTargetHoldsAnOutdatedVersionWaitsForTheNewerOne(Wait wait) {
        sendAndWait(wait, RetryPolicy.AT_MOST_ONCE, "a");
        world.adapters().setVersions(NEWER, NEWER);
        end(wait);
        assertThat(written()).isEmpty();
        assertThat(world.targets().sentRequests()).hasSizeLessThanOrEqualTo(1);
        assertThat(world.adapters().enqueuedLoads()).contains("a a7");
        target("a").learnResident(ADAPTER, NEWER, world.time().nanos());
        world.adapters().notifyWaiters();
        end(wait);
        assertThat(written()).singleElement().satisfies(sent -> assertThat(expectedVersion(sent))
                .hasValue(NEWER));
    }

    /** Guards against a target that is told to expect the version that it held when the request was placed. */
    @Test
    void aTargetIsToldTheVersionThatItHoldsWhenTheRequestIsWritten() {
        sendAndWait(Wait.CONNECTION, RetryPolicy.AT_MOST_ONCE, "a");
        target("a").learnResident(ADAPTER, NEWER, world.time().nanos());
        world.adapters().setVersions(NEWER, NEWER);
        end(Wait.CONNECTION);
        assertThat(written()).singleElement().satisfies(sent -> assertThat(expectedVersion(sent))
                .hasValue(NEWER));
    }

    /** Guards against a write by rows that were fresh when the request was placed, and are outdated when it is written. */
    @ParameterizedTest
    @EnumSource(Wait.class)
    void aRequestIsNotWrittenUntilWhatIsKnownIsFreshAgain(Wait wait) {
        sendAndWait(wait, RetryPolicy.AT_MOST_ONCE, "a");
        AtomicBoolean fresh = new AtomicBoolean();
        world.setRows(() -> fresh.get() ? Optional.empty() : Optional.of(CHECK_INTERVAL));
        end(wait);
        assertThat(written()).isEmpty();
        fresh.set(true);
        world.time().advance(CHECK_INTERVAL);
        end(wait);
        assertThat(written()).hasSize(1);
    }

    /** Guards against writes of which nobody can tell why they were not made. */
    @ParameterizedTest
    @CsvSource({
        "DRAINING_ROW, TARGET_LEAVING",
        "REMOVED_ROW, TARGET_LEAVING",
        "ANNOUNCED, TARGET_LEAVING",
        "VERSION_OUT_OF_FORCE, VERSION_OUTDATED",
        "ADAPTER_UNLOADED, ADAPTER_ABSENT"
    })
    void anOmittedWriteTellsWhy(Change change, WriteDecision.Result expected) {
        sendAndWait(Wait.CONNECTION, RetryPolicy.AT_MOST_ONCE, "a", "b");
        change.action.accept(world, placedAt.get(0));
        end(Wait.CONNECTION);
        assertThat(world.loggedFields(EventCode.WRITE_OMITTED)).singleElement().satisfies(line -> assertThat(line)
                .containsEntry("result", expected)
                .containsEntry("namedVersion", NEWER));
    }

    /** Guards against a silent target that loses its request to one that leaves before it has got it. */
    @Test
    void aRequestStaysAtItsSilentTargetUntilTheNextOneMayBeWrittenTo() {
        RequestHarness fleet = new RequestHarness()
                .startWithRoute(RetryPolicy.IDEMPOTENT, MAXIMUM_TARGETS)
                .addTarget("a")
                .addTarget("b")
                .addTarget("c");
        fleet.send();
        SentRequest silent = fleet.targets().lastRequest();
        fleet.targets().setConnecting(false);
        fleet.time().advance(RequestHarness.TIMEOUT.dividedBy(2));
        SentRequest leaving = fleet.targets().lastRequest();
        assertThat(leaving).isNotSameAs(silent);
        leaving.target().markLeaving();
        leaving.connect();
        assertThat(leaving.isWritten()).isFalse();
        assertThat(silent.isCancelled()).isFalse();
        SentRequest third = fleet.targets().lastRequest();
        third.connect();
        assertThat(third.isWritten()).isTrue();
        assertThat(third.target()).isNotIn(silent.target(), leaving.target());
        assertThat(silent.isCancelled()).isTrue();
        assertThat(third.workingBeside()).isZero();
    }

    private Target target(String name) {
        return world.registry().find(TargetId.of(name)).orElseThrow();
    }

    private static OptionalLong expectedVersion(SentRequest sent) {
        return sent.metadata().version().get();
    }

    private RecordedAnswer sendAndWait(Wait wait, RetryPolicy policy, String... targets) {
        world.startWithRoute(policy, MAXIMUM_TARGETS);
        for (String target : targets) {
            world.addTarget(target, holding(OLDER));
        }
        world.adapters().setVersions(NEWER, OLDER);
        start(wait);
        RecordedAnswer answer = world.send(GENERATION);
        if (wait == Wait.CONNECTION) {
            placedAt.add(world.targets().lastRequest().target());
        } else if (wait == Wait.ORDERED_TURN) {
            placedAt.add(owners.last().target());
        }
        assertThat(written()).isEmpty();
        return answer;
    }

    private void start(Wait wait) {
        switch (wait) {
            case PACED_TURN -> world.setTargetAdmission((target, tokens, maximumDelay, callback) -> {
                placedAt.add(target);
                callback.accept(new TargetAdmission.Decision(true, placedAt.size() > 1 ? Duration.ZERO : WAIT));
                return Cancellable.NOOP;
            });
            case ORDERED_TURN -> world.setTargetAdmission(owners);
            case PERMISSION -> world.setLimiter((target, callback) -> {
                placedAt.add(target);
                permit = () -> callback.accept(RequestLimiter.Decision.UNLIMITED);
                return Cancellable.NOOP;
            });
            default -> world.targets().setConnecting(false);
        }
    }

    /** Ends the wait, and the same one at each target that the request is placed at then. */
    private void end(Wait wait) {
        world.time().advance(WAIT);
        for (int round = 0; round < MAXIMUM_TARGETS && written().isEmpty(); round++) {
            switch (wait) {
                case PACED_TURN -> world.time().advance(WAIT);
                case ORDERED_TURN -> owners.last().admit();
                case PERMISSION -> permit.run();
                default -> world.targets().lastRequest().connect();
            }
        }
    }

    private List<SentRequest> written() {
        return world.targets().sentRequests().stream()
                .filter(SentRequest::isWritten)
                .toList();
    }
}
