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
    private static final int TOKENS = 3;
    private static final String LAST =
            "data: {\"model\":\"rewind@v1\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}";
    private static final String DONE = "data: [DONE]";

    @ParameterizedTest
    @MethodSource("streams")
    void aStreamIsServedOnlyIfItIsCompleteAndCorrect(Verdict verdict, int status, String[] lines) {
        assertThat(judge(status, lines).verdict()).isEqualTo(verdict);
    }

    static Stream<Arguments> streams() {
        String[] tokens = {part(0), part(1), part(2)};
        return Stream.of(
                arguments(Verdict.SERVED, 200, new String[] {
                    tokens[0], "", tokens[1], ": keep-alive", tokens[2], LAST, DONE
                }),
                arguments(Verdict.WRONG, 200, new String[] {tokens[0], tokens[2], tokens[1], LAST, DONE}),
                arguments(Verdict.WRONG, 200, new String[] {tokens[0], tokens[1], tokens[1], tokens[2], LAST, DONE}),
                arguments(Verdict.WRONG, 200, new String[] {tokens[0], tokens[1], LAST, DONE}),
                arguments(Verdict.FAILED, 200, new String[] {tokens[0], tokens[1]}),
                arguments(Verdict.FAILED, 200, new String[] {tokens[0], tokens[1], tokens[2], LAST}),
                arguments(Verdict.FAILED, 200, new String[] {
                    tokens[0], "data: {\"error\":{\"name\":\"X\",\"ran\":\"unknown\"}}"
                }),
                arguments(
                        Verdict.REFUSED, 429, new String[] {"{\"error\":{\"name\":\"OUT_OF_BUDGET\",\"ran\":\"no\"}}"}),
                arguments(Verdict.FAILED, 502, new String[] {"{\"error\":{\"name\":\"X\",\"ran\":\"unknown\"}}"}),
                arguments(Verdict.FAILED, 500, new String[] {"<html>"}));
    }

    private static String part(int index) {
        return "data: {\"model\":\"rewind@v1\",\"choices\":[{\"text\":\"" + EXPECTED.token(index)
                + "\",\"finish_reason\":null}]}";
    }

    private static Outcome judge(int status, String[] lines) {
        AccountLoad account =
                new AccountLoad("a", "", 1, 0, 0, 1, 0, 1, TOKENS, new AdapterRange("rewind", 0, 1, "v1", 0), 0, 0);
        PlannedRequest request = new PlannedRequest(
                0, 0, account, PlannedRequest.Kind.COMPLETION, true, ADAPTER, "p", false, "", URI.create("http://h"));
        AnswerReceiver reception = new AnswerReceiver(request, LoadSettings.Mode.ENTRY, 0, nanos -> {}, nanos -> {});
        reception.createBodySubscriber(new Response(status));
        reception.onSubscribe(new NoSubscription());
        for (String line : lines) {
            reception.onNext(line);
        }
        reception.onComplete();
        return reception.evaluate();
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
