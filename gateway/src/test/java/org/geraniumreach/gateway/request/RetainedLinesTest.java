package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Reads from the retained lines what happened to a request that is written more than once. */
class RetainedLinesTest {

    private static final double AMPLE_RETRIES = 100;

    private final RequestHarness world = new RequestHarness(AMPLE_RETRIES).startWithRoute(RetryPolicy.AT_MOST_ONCE, 1);

    static Stream<Arguments> ends() {
        Consumer<SentRequest> answer = sent -> {
            sent.answerHead(200, false);
            sent.endAnswer();
        };
        Consumer<SentRequest> fail = sent -> sent.fail(true);
        Consumer<SentRequest> reject = sent -> sent.answerNotExecuted(NotExecuted.SHED);
        return Stream.of(
                arguments(answer, List.of(), "MAY_HAVE_RUN"),
                arguments(fail, List.of(EventCode.ATTEMPT_FAILED, EventCode.OUTCOME_UNKNOWN), "MAY_HAVE_RUN"),
                arguments(reject, List.of(EventCode.ATTEMPT_NOT_EXECUTED, EventCode.REQUEST_REFUSED), "NOT_EXECUTED"));
    }

    /** Guards against a request that runs twice and whose writes, rejections or end a log at load has dropped. */
    @ParameterizedTest
    @MethodSource("ends")
    void eachFurtherWriteEachRejectionAndTheEndAreRetained(
            Consumer<SentRequest> end, List<EventCode> events, String state) {
        world.addTarget("one");
        world.addTarget("two");
        world.send();
        world.targets().lastRequest().answerNotExecuted(NotExecuted.SHED);
        end.accept(world.targets().lastRequest());
        world.time().advance(Duration.ofSeconds(1));
        assertThat(world.retainedEvents())
                .containsExactlyElementsOf(Stream.concat(
                                Stream.of(EventCode.ATTEMPT_NOT_EXECUTED, EventCode.REQUEST_PLACED), events.stream())
                        .toList());
        assertThat(world.outcomes().get(0).writes()).matches("\\w+#1:NOT_EXECUTED \\w+#2:" + state);
    }

    @Test
    void aRequestThatIsWrittenOnceNeedsNoRetainedLine() {
        world.addTarget("one");
        world.send();
        world.targets().lastRequest().answerHead(200, false);
        world.targets().lastRequest().endAnswer();
        assertThat(world.retainedEvents()).isEmpty();
    }
}
