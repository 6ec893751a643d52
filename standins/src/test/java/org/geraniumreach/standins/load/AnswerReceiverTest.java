package org.geraniumreach.standins.load;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpResponse.ResponseInfo;
import java.util.Map;
import java.util.concurrent.Flow;
import java.util.stream.Stream;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.standins.answer.ExpectedAnswer;
import org.geraniumreach.standins.load.LoadSettings.AccountLoad;
import org.geraniumreach.standins.load.LoadSettings.AdapterRange;
import org.geraniumreach.standins.load.Outcome.Verdict;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class AnswerReceiverTest {

    private static final AdapterReference ADAPTER = AdapterReference.of("rewind", "v1");
    private static final ExpectedAnswer EXPECTED = ExpectedAnswer.of(ADAPTER, "p");
    private static final int MAXIMUM_TOKENS = 3;
    private static final String FINISH_EVENT =
            "data: {\"model\":\"rewind@v1\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}";
    private static final String DONE_EVENT = "data: [DONE]";

    @ParameterizedTest
    @MethodSource("streams")
    void aStreamIsServedOnlyIfItIsCompleteAndCorrect(Verdict verdict, int status, String[] lines) {
        assertThat(evaluate(status, lines).verdict()).isEqualTo(verdict);
    }

    static Stream<Arguments> streams() {
        String[] events = {tokenEvent(0), tokenEvent(1), tokenEvent(2)};
        return Stream.of(
                arguments(Verdict.SERVED, 200, new String[] {
                    events[0], "", events[1], ": keep-alive", events[2], FINISH_EVENT, DONE_EVENT
                }),
                arguments(Verdict.WRONG, 200, new String[] {events[0], events[2], events[1], FINISH_EVENT, DONE_EVENT}),
                arguments(Verdict.WRONG, 200, new String[] {
                    events[0], events[1], events[1], events[2], FINISH_EVENT, DONE_EVENT
                }),
                arguments(Verdict.WRONG, 200, new String[] {events[0], events[1], FINISH_EVENT, DONE_EVENT}),
                arguments(Verdict.FAILED, 200, new String[] {events[0], events[1]}),
                arguments(Verdict.FAILED, 200, new String[] {events[0], events[1], events[2], FINISH_EVENT}),
                arguments(Verdict.FAILED, 200, new String[] {
                    events[0], "data: {\"error\":{\"name\":\"X\",\"ran\":\"unknown\"}}"
                }),
                arguments(
                        Verdict.REFUSED, 429, new String[] {"{\"error\":{\"name\":\"OUT_OF_BUDGET\",\"ran\":\"no\"}}"}),
                arguments(Verdict.FAILED, 502, new String[] {"{\"error\":{\"name\":\"X\",\"ran\":\"unknown\"}}"}),
                arguments(Verdict.FAILED, 500, new String[] {"<html>"}));
    }

    private static String tokenEvent(int index) {
        return "data: {\"model\":\"rewind@v1\",\"choices\":[{\"text\":\"" + EXPECTED.token(index)
                + "\",\"finish_reason\":null}]}";
    }

    private static Outcome evaluate(int status, String[] lines) {
        AccountLoad account = new AccountLoad(
                "a", "", 1, 0, 0, 1, 0, 1, MAXIMUM_TOKENS, new AdapterRange("rewind", 0, 1, "v1", 0), 0, 0);
        PlannedRequest request = new PlannedRequest(
                0, 0, account, PlannedRequest.Kind.COMPLETION, true, ADAPTER, "p", false, "", URI.create("http://h"));
        AnswerReceiver receiver = new AnswerReceiver(request, LoadSettings.Mode.ENTRY, 0, nanos -> {}, nanos -> {});
        receiver.createBodySubscriber(new Response(status));
        receiver.onSubscribe(new NoSubscription());
        for (String line : lines) {
            receiver.onNext(line);
        }
        receiver.onComplete();
        return receiver.evaluate();
    }

    private record Response(int statusCode) implements ResponseInfo {

        @Override
        public HttpHeaders headers() {
            return HttpHeaders.of(Map.of(), (name, value) -> true);
        }

        @Override
        public HttpClient.Version version() {
            return HttpClient.Version.HTTP_1_1;
        }
    }

    private static final class NoSubscription implements Flow.Subscription {

        @Override
        public void request(long count) {}

        @Override
        public void cancel() {}
    }
}
