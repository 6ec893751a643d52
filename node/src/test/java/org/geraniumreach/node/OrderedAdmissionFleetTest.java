package org.geraniumreach.node;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.geraniumreach.gateway.process.ProcessSettings.Feature;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs entries of which all or some order the requests for targets. */
class OrderedAdmissionFleetTest {

    private static final Set<Feature> ORDERED = Set.of(Feature.ORDERED_ADMISSION);
    private static final int REQUESTS_PER_SECOND = 40;

    /** Well below the time after which an entry takes a silent owner for lost, for several requests in a row. */
    private static final Duration USUAL_TIME = Duration.ofMillis(800);

    private final FakePlatform platform;

    OrderedAdmissionFleetTest() throws Exception {
        platform = new FakePlatform();
    }

    @AfterEach
    void close() {
        platform.close();
    }

    static Stream<List<Set<Feature>>> deployments() {
        return Stream.of(
                List.of(ORDERED, ORDERED, ORDERED),
                List.of(ORDERED, Set.of(), ORDERED),
                List.of(Set.of(), ORDERED, Set.of()));
    }

    /** Guards against requests that hang or are sent twice where entries differ in what they order. */
    @ParameterizedTest
    @MethodSource("deployments")
    void eachRequestIsSentOnceAndAnswered(List<Set<Feature>> features) throws Exception {
        FakePlatform.FakeTarget one = platform.addTarget("one", "engines");
        FakePlatform.FakeTarget two = platform.addTarget("two", "engines");
        FakeFleet fleet = new FakeFleet(platform, features);
        fleet.awaitReady("/chat/x");
        int before = requestIds(one, two).size();
        fleet.sendFor(Duration.ofSeconds(3), REQUESTS_PER_SECOND, "/chat/x");
        Thread.sleep(USUAL_TIME.toMillis());
        assertThat(fleet.results()).hasSizeGreaterThan(REQUESTS_PER_SECOND);
        assertThat(fleet.results()).extracting(FakeFleet.Result::status).containsOnly(200);
        assertThat(fleet.results())
                .extracting(FakeFleet.Result::elapsed)
                .allMatch(elapsed -> elapsed.compareTo(USUAL_TIME) < 0);
        assertThat(requestIds(one, two)).doesNotHaveDuplicates();
        assertThat(requestIds(one, two)).hasSize(before + fleet.results().size());
    }

    /** Gets the ids of the callers' requests that targets have received, without orders and reports. */
    private static List<String> requestIds(FakePlatform.FakeTarget... targets) {
        return Stream.of(targets)
                .flatMap(target -> target.arrivals().stream())
                .flatMap(arrival -> arrival.requestId().stream())
                .toList();
    }
}
