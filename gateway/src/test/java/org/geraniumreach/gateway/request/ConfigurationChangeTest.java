package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import org.geraniumreach.gateway.limit.RequestLimiter;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.CallerLimits;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.gateway.traffic.ServiceDefinition;
import org.geraniumreach.gateway.traffic.TrafficConfiguration;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Puts a new configuration in force while a request is on its way. */
class ConfigurationChangeTest {

    private static final AccountId ACCOUNT = AccountId.of("acme");
    private static final AdapterName ADAPTER = new AdapterName("base", "a7");
    private static final GatewayRequest.Generation GENERATION =
            new GatewayRequest.Generation("base", Optional.of(ADAPTER), 100, 50, OptionalLong.empty(), List.of());
    private static final String FIRST_EVENT = "id: 1\ndata: x\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: y\n\n";
    private static final int MAXIMUM_TARGETS = 3;
    private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(1);

    /** What a request waits for when the configuration changes. */
    private enum Stage {
        STARTUP,
        ACCOUNT_RATE,
        TARGET,
        ADAPTER_LOAD,
        PROMPT_TURN,
        PERMISSION,
        RETRY,
        FIRST_PART,
        NEXT_PART;

        private boolean isSent() {
            return this == FIRST_PART || this == NEXT_PART;
        }
    }

    /** What differs in the new configuration, or at the targets that it leads to. */
    private enum Change {
        NOTHING,
        ROUTE_REMOVED,
        ROUTE_MOVED,
        SERVICE_REMOVED,
        TARGETS_REMOVED,
        ACCOUNT_REMOVED,
        KEY_REMOVED,
        RATE_LOWERED,
        RATE_UNLIMITED,
        TIMEOUT_SHORTENED,
        POLICY_CHANGED,
        ADAPTER_VERSION_RAISED
    }

    private static Stream<Arguments> cases() {
        return Stream.of(RetryPolicy.values()).flatMap(policy -> Stream.of(Stage.values())
                .flatMap(stage -> Stream.of(Change.values()).map(change -> Arguments.of(policy, stage, change))));
    }

    /** Guards against a request that gets neither an answer nor a refusal, or one of a service to which its routes did not lead. */
    @ParameterizedTest
    @MethodSource("cases")
    void requestEndsAsTheOldOrTheNewConfigurationSays(RetryPolicy policy, Stage stage, Change change) {
        World world = new World(policy, stage);
        world.change(change);
        world.resume();
        world.harness.time().advance(RequestHarness.TIMEOUT);
        assertThat(world.answer.terminationCount()).isEqualTo(1);
        assertThat(world.answer.isComplete()).isTrue();
        assertThat(world.answer.status()).isIn(allowedStatuses(stage, change));
        if (world.answer.status() == 200) {
            assertThat(world.answer.text()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
        }
        if (change == Change.ADAPTER_VERSION_RAISED && !stage.isSent()) {
            assertThat(world.harness
                            .targets()
                            .lastRequest()
                            .metadata()
                            .version()
                            .get())
                    .hasValue(2);
        }
        assertThat(world.harness.openExchanges()).isZero();
        assertThat(world.harness.targets().openRequests()).isEmpty();
        String service = stage == Stage.STARTUP && change == Change.ROUTE_MOVED ? "other" : "service";
        assertThat(world.harness.targets().sentRequests())
                .allMatch(sent -> sent.target().description().service().equals(service));
    }

    private static Set<Integer> allowedStatuses(Stage stage, Change change) {
        if (stage == Stage.STARTUP && change == Change.ROUTE_REMOVED) {
            return Set.of(404);
        }
        if (stage == Stage.STARTUP && change == Change.KEY_REMOVED
                || stage == Stage.STARTUP && change == Change.ACCOUNT_REMOVED) {
            return Set.of(401);
        }
        return change == Change.TARGETS_REMOVED && !stage.isSent() ? Set.of(503) : Set.of(200);
    }

    /** Guards against a request that is held beyond its timeout, or whose connection is closed without an answer. */
    @ParameterizedTest
    @MethodSource("cases")
    void requestThatCannotGoOnIsAnsweredByItsTimeout(RetryPolicy policy, Stage stage, Change change) {
        World world = new World(policy, stage);
        world.change(change);
        world.harness.time().advance(RequestHarness.TIMEOUT);
        assertThat(world.answer.terminationCount()).isEqualTo(1);
        boolean begun = stage == Stage.NEXT_PART && policy.isStream();
        assertThat(world.answer.isAborted()).isEqualTo(begun);
        assertThat(world.harness.openExchanges()).isZero();
        assertThat(world.harness.targets().openRequests()).isEmpty();
    }

    /** An entry with one request, which waits at a stage. */
    private static final class World {
        private final RequestHarness harness = new RequestHarness();
        private final RetryPolicy policy;
        private final Stage stage;
        private final RecordedAnswer answer;
        private Optional<Runnable> proceed = Optional.empty();
        private long version = 1;

        private World(RetryPolicy policy, Stage stage) {
            this.policy = policy;
            this.stage = stage;
            harness.putInForce(configuration(Change.NOTHING));
            harness.takeWholeRate(ACCOUNT);
            if (stage != Stage.STARTUP) {
                harness.start();
            }
            addTarget("service", "a", stage != Stage.ADAPTER_LOAD && stage != Stage.TARGET);
            addTarget("other", "c", true);
            harness.setTargetsHeld(stage != Stage.TARGET);
            holdAtTarget();
            if (stage == Stage.ACCOUNT_RATE) {
                harness.send(Optional.of(GENERATION));
                complete(harness.targets().lastRequest(), true);
            }
            this.answer = harness.send(Optional.of(GENERATION));
            reachStage();
        }

        private void addTarget(String service, String name, boolean hasAdapter) {
            Map<String, Long> adapters = hasAdapter ? Map.of(ADAPTER.adapter(), version) : Map.of();
            harness.addTarget(service, name, 1, SoftwareVersion.of("v1"), Map.of(ADAPTER.baseModel(), adapters));
        }

        private void holdAtTarget() {
            if (stage == Stage.PROMPT_TURN) {
                harness.setTargetAdmission((target, tokens, maximumDelay, callback) -> {
                    proceed = Optional.of(() -> callback.accept(TargetAdmission.Decision.IMMEDIATE));
                    return Cancellable.NOOP;
                });
            }
            if (stage == Stage.PERMISSION) {
                harness.setLimiter((target, callback) -> {
                    proceed = Optional.of(() -> callback.accept(RequestLimiter.Decision.UNLIMITED));
                    return Cancellable.NOOP;
                });
            }
        }

        private void reachStage() {
            switch (stage) {
                case STARTUP -> {
                    proceed = Optional.of(harness::start);
                }
                case RETRY -> {
                    addTarget("service", "b", false);
                    harness.targets().lastRequest().fail(false);
                }
                case NEXT_PART -> {
                    harness.targets().lastRequest().answerHead(200, policy.isStream());
                    harness.targets().lastRequest().answerPart(FIRST_EVENT);
                }
                default -> {}
            }
            assertThat(answer.isEnded()).isFalse();
            assertThat(harness.targets().openRequests()).hasSize(stage.isSent() ? 1 : 0);
        }

        private void loadAdapter() {
            harness.registry()
                    .findByService("service")
                    .forEach(target -> target.learnResident(
                            ADAPTER, version, harness.time().nanos()));
            harness.adapters().notifyWaiters();
        }

        private void change(Change change) {
            if (change == Change.TARGETS_REMOVED) {
                Stream.of("a", "b").map(TargetId::of).forEach(harness.registry()::onRowRemoved);
            }
            if (change == Change.ADAPTER_VERSION_RAISED) {
                version = 2;
                harness.adapters().setVersions(version, version);
            }
            harness.putInForce(configuration(change));
        }

        private TrafficConfiguration configuration(Change change) {
            double rate = stage == Stage.ACCOUNT_RATE && change != Change.RATE_UNLIMITED ? 1_000 : 0;
            double newRate = change == Change.RATE_LOWERED ? 10 : rate;
            Account account = new Account(ACCOUNT, newRate, 300, true, 200, OptionalInt.empty());
            Account another = new Account(AccountId.of("another"), 0, 0, true, 200, OptionalInt.empty());
            boolean hasAccount = change != Change.ACCOUNT_REMOVED;
            boolean hasKey = hasAccount && change != Change.KEY_REMOVED;
            return TrafficConfiguration.of(
                    change == Change.NOTHING ? 1 : 2,
                    new CallerLimits(16_384, 1_000_000, Duration.ofSeconds(3), Duration.ofSeconds(15)),
                    change == Change.ROUTE_REMOVED ? List.of() : List.of(route(change)),
                    hasKey
                            ? Map.of(RequestHarness.KEY, account, "another-key", another)
                            : Map.of("another-key", another),
                    hasAccount ? List.of(account, another) : List.of(another),
                    Stream.of("service", "other")
                            .filter(name -> change != Change.SERVICE_REMOVED || !name.equals("service"))
                            .map(name -> new ServiceDefinition(
                                    name, 100, ServiceDefinition.ColdStart.NONE, Optional.empty()))
                            .toList());
        }

        private Route route(Change change) {
            return new Route(
                    "the-route",
                    RequestHarness.HOST,
                    "/",
                    List.of(new Route.Destination(change == Change.ROUTE_MOVED ? "other" : "service", 1)),
                    change == Change.POLICY_CHANGED ? RetryPolicy.AT_MOST_ONCE : policy,
                    change == Change.TIMEOUT_SHORTENED ? SHORT_TIMEOUT : RequestHarness.TIMEOUT,
                    Duration.ofMillis(800),
                    MAXIMUM_TARGETS,
                    0,
                    false);
        }

        /** Ends the wait of the stage, to which a request that is placed again comes once more. */
        private void proceed() {
            while (proceed.isPresent()) {
                Runnable next = proceed.get();
                proceed = Optional.empty();
                next.run();
            }
        }

        /** Ends the wait of the stage, and answers the request where it was sent. */
        private void resume() {
            proceed();
            loadAdapter();
            proceed();
            harness.time().advance(Duration.ofMillis(400));
            List.copyOf(harness.targets().openRequests()).forEach(sent -> complete(sent, stage != Stage.NEXT_PART));
        }

        private void complete(SentRequest sent, boolean fromBeginning) {
            if (fromBeginning) {
                sent.answerHead(200, policy.isStream());
                sent.answerPart(FIRST_EVENT);
            }
            sent.answerPart(SECOND_EVENT);
            sent.endAnswer();
        }
    }
}
