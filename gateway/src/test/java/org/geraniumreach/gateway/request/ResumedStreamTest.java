package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.stream.OriginAnswer;
import org.geraniumreach.gateway.stream.StreamKey;
import org.geraniumreach.gateway.stream.StreamOrigin;
import org.geraniumreach.gateway.stream.StreamPeers;
import org.geraniumreach.gateway.stream.StreamRecord;
import org.geraniumreach.gateway.testing.BegunStream;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.SoftwareVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Streams that callers take up again while targets of several software versions serve. */
class ResumedStreamTest {

    private static final SoftwareVersion ONE = SoftwareVersion.of("v1");
    private static final SoftwareVersion TWO = SoftwareVersion.of("v2");

    private final RequestHarness world = new RequestHarness().startWithRoute(RetryPolicy.RESUMABLE_STREAM, 2);

    /** Another entry that keeps what it is sent, and answers only when a test says so. */
    private final class SilentPeer implements StreamPeers {
        private long lastRecording;
        private long lastRequest;

        @Override
        public Collection<String> connectedEntries() {
            return List.of("other");
        }

        @Override
        public boolean sendRecords(String entry, long number, List<StreamRecord> records) {
            lastRecording = number;
            return true;
        }

        @Override
        public boolean requestOrigin(String entry, long number, StreamKey key, String service) {
            lastRequest = number;
            return true;
        }
    }

    /** Begins a stream at a target of v1 beside one of v2, whose caller leaves with one event. */
    private void beginAtFirstVersion() {
        world.addTarget("one", ONE, Map.of());
        world.send();
        world.addTarget("two", TWO, Map.of());
        SentRequest first = world.targets().lastRequest();
        BegunStream.begin(first);
    }

    /** Guards against a stream that goes on without knowledge of what began it. */
    @ParameterizedTest
    @CsvSource({
        "a-key, 1, request-1, RESUMED, 0",
        "a-key, 1, , NO_FIRST_ATTEMPT, 309",
        "a-key, 1, request-7, ORIGIN_NOT_ANSWERED, 309",
        "urgent-key, 1, request-1, ORIGIN_NOT_ANSWERED, 309"
    })
    void aResumedStreamIsDecidedByItsFirstAttempt(
            String key, long lastEvent, String firstAttempt, String result, int code) {
        beginAtFirstVersion();
        RecordedAnswer answer = world.resume(key, lastEvent, Optional.ofNullable(firstAttempt));
        assertThat(world.loggedEvents()).contains("STREAM_RESUMPTION_DECIDED " + result);
        boolean resumed = code == 0;
        assertThat(world.targets().sentRequests()).hasSize(resumed ? 2 : 1);
        assertThat(world.targets().lastRequest().target().description().softwareVersion())
                .isEqualTo(ONE);
        assertThat(answer.isEnded()).isEqualTo(!resumed);
        assertThat(answer.text()).contains(resumed ? "" : "\"code\":" + code);
    }

    /** Guards against names of first attempts that are too long to be kept. */
    @Test
    void anAttemptWithAnOverlongIdIsNotKnown() {
        beginAtFirstVersion();
        RecordedAnswer answer = world.resume(RequestHarness.KEY, 1, Optional.of("x".repeat(10_000)));
        assertThat(answer.status()).isEqualTo(ResultCode.STREAM_ORIGIN_UNKNOWN.httpStatus());
    }

    /** Guards against a caller without an event being bound to the version of an attempt that brought none. */
    @Test
    void aStreamWithoutAnEventBeginsAnew() {
        beginAtFirstVersion();
        world.registry().onRowRemoved(world.targets().lastRequest().target().id());
        world.resume(RequestHarness.KEY, 0, Optional.of("request-1"));
        assertThat(world.targets().lastRequest().target().description().softwareVersion())
                .isEqualTo(TWO);
    }

    /** Guards against callers who wait for a version that has no target left. */
    @Test
    void aStreamWhoseVersionIsGoneIsRefusedAtOnce() {
        beginAtFirstVersion();
        world.registry().onRowRemoved(world.targets().lastRequest().target().id());
        RecordedAnswer answer = world.resume(RequestHarness.KEY, 1, Optional.of("request-1"));
        assertThat(answer.text()).contains("\"code\":" + ResultCode.STREAM_VERSION_GONE.number());
        assertThat(answer.header("Retry-After")).isEmpty();
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    /** Guards against a resumed stream whose next target fails before its first event and that then changes the version. */
    @Test
    void aResumedStreamKeepsItsVersionIfItsTargetFails() {
        beginAtFirstVersion();
        world.addTarget("one-again", ONE, Map.of());
        world.resume(RequestHarness.KEY, 1, Optional.of("request-1"));
        world.targets().lastRequest().fail(true);
        assertThat(world.targets().sentRequests())
                .hasSize(3)
                .extracting(sent -> sent.target().description().softwareVersion())
                .containsOnly(ONE);
    }

    /** Guards against an entry that knows only of the first target that was tried, and takes the stream up at that one's version. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aStreamThatHasNotBegunStaysAtTheVersionThatOtherEntriesKnowIfItCan(boolean sameVersionIsLeft) {
        world.streams().setPeers(new SilentPeer());
        world.addTarget("one", ONE, Map.of());
        List<String> others = List.of("two", "two-b", "two-c", "two-d", "two-e");
        others.forEach(name -> {
            world.addTarget(name, TWO, Map.of());
            world.restTarget(name, Duration.ofSeconds(1));
        });
        world.send();
        if (sameVersionIsLeft) {
            world.addTarget("one-again", ONE, Map.of());
        }
        others.forEach(name -> world.restTarget(name, Duration.ZERO));
        world.targets().lastRequest().fail(true);
        assertThat(world.targets().sentRequests())
                .hasSize(2)
                .extracting(sent -> sent.target().description().softwareVersion())
                .containsExactly(ONE, sameVersionIsLeft ? ONE : TWO);
    }

    /** Guards against a caller who waits longer than entries have to answer, or who is not told to return. */
    @Test
    void aCallerIsRefusedSoonIfOtherEntriesDoNotAnswer() {
        SilentPeer peer = new SilentPeer();
        world.streams().setPeers(peer);
        beginAtFirstVersion();
        RecordedAnswer answer = world.resume(RequestHarness.KEY, 1, Optional.of("of-another-entry"));
        assertThat(answer.isEnded()).isFalse();
        world.time().advance(Duration.ofMillis(301));
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
        world.streams().onOriginAnswer(peer.lastRequest, OriginAnswer.unknown(OriginAnswer.Source.NOT_KNOWN));
        assertThat(answer.terminationCount()).isEqualTo(1);
    }

    /** Guards against work for callers who have left while other entries are asked. */
    @Test
    void aCallerWhoLeavesWhileOtherEntriesAreAskedIsNotServed() {
        SilentPeer peer = new SilentPeer();
        world.streams().setPeers(peer);
        beginAtFirstVersion();
        RecordedAnswer answer = new RecordedAnswer();
        world.resumeAndLeave(answer, 1, "of-another-entry");
        world.streams()
                .onOriginAnswer(
                        peer.lastRequest,
                        new OriginAnswer(
                                OriginAnswer.Source.PEER,
                                Optional.of(StreamOrigin.of("service", ONE)),
                                Duration.ZERO,
                                Duration.ofSeconds(1)));
        assertThat(world.targets().sentRequests()).hasSize(1);
        assertThat(answer.isEnded()).isFalse();
    }

    /** Guards against an event that reaches the caller before another entry knows what began the stream. */
    @ParameterizedTest
    @CsvSource({"true, 0", "false, 101"})
    void theFirstEventIsHeldBackUntilItsOriginIsRecorded(boolean recorded, long waitMillis) {
        SilentPeer peer = new SilentPeer();
        world.streams().setPeers(peer);
        world.addTarget("one", ONE, Map.of());
        BegunStream stream = BegunStream.start(world);
        RecordedAnswer answer = stream.answer();
        stream.sent().answerPart("id: 2\ndata: y\n\n");
        stream.sent().endAnswer();
        assertThat(answer.headCount()).isZero();
        if (recorded) {
            world.streams().onRecorded(peer.lastRecording);
        }
        world.time().advance(Duration.ofMillis(waitMillis));
        assertThat(answer.text()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
        assertThat(answer.isComplete()).isTrue();
        assertThat(world.loggedEvents().contains("STREAM_ORIGIN_NOT_RECORDED")).isNotEqualTo(recorded);
    }

    /** Guards against held events that are out of order being passed on, or being lost together with the attempt. */
    @Test
    void heldEventsOutOfOrderFailTheAttempt() {
        SilentPeer peer = new SilentPeer();
        world.streams().setPeers(peer);
        world.addTarget("one", ONE, Map.of()).addTarget("two", ONE, Map.of());
        world.send();
        SentRequest sent = world.targets().lastRequest();
        sent.answerHead(200, true);
        sent.answerPart("id: 5\ndata: x\n\n");
        world.streams().onRecorded(peer.lastRecording);
        assertThat(sent.isCancelled()).isTrue();
        assertThat(world.targets().sentRequests()).hasSize(2);
    }

    /** Guards against a stream that goes on at a service to which its route does not lead any more. */
    @ParameterizedTest
    @CsvSource({"1, 1, RESUMED", "0, 1, OTHER_SERVICE"})
    void aStreamGoesOnAtItsServiceWhileTheRouteLeadsThere(int weight, int otherWeight, String result) {
        Route route = new Route(
                "r",
                "h",
                "/",
                List.of(new Route.Destination("first", weight), new Route.Destination("second", otherWeight)),
                RetryPolicy.RESUMABLE_STREAM,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                2,
                0,
                false);
        OriginAnswer answer = new OriginAnswer(
                OriginAnswer.Source.RECORD,
                Optional.of(StreamOrigin.of("first", ONE)),
                Duration.ZERO,
                Duration.ofSeconds(1));
        assertThat(ResumptionDecision.of(true, answer, route, origin -> 1).result())
                .isEqualTo(ResumptionDecision.Result.valueOf(result));
    }

    /** Guards against a stream whose route is split between services, and that goes on at another one than began it. */
    @Test
    void theServiceOfAStreamIsTheSameEachTimeItsCallerComesBack() {
        Route route = world.configure(RetryPolicy.RESUMABLE_STREAM, 2).route();
        int belowTenth = 0;
        for (int number = 0; number < 1_000; number++) {
            double drawn = StreamResumption.serviceDraw(request("id-" + number, 0, Optional.empty()), route);
            assertThat(StreamResumption.serviceDraw(request("other", 3, Optional.of("id-" + number)), route))
                    .isEqualTo(drawn);
            belowTenth += drawn < 0.1 ? 1 : 0;
        }
        assertThat(belowTenth).isBetween(70, 130);
    }

    private static GatewayRequest request(String id, long lastEvent, Optional<String> firstAttempt) {
        return new GatewayRequest(
                id,
                "POST",
                "/x",
                RequestHarness.HOST,
                "/x",
                Optional.empty(),
                List.of(),
                new byte[0],
                Duration.ofSeconds(1),
                Optional.empty(),
                OptionalLong.of(lastEvent),
                firstAttempt);
    }
}
