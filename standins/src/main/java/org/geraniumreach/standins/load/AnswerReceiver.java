package org.geraniumreach.standins.load;

import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.net.http.HttpResponse.ResponseInfo;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Flow;
import java.util.function.LongConsumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.standins.answer.ExpectedAnswer;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.load.LoadSettings.Mode;

/**
 * Receives one answer, measures the time between its parts and checks its content.
 *
 * <p>Invariant: an answer counts as served only if it is complete and equals the expected answer of the adapter
 * version. Used by one thread at a time, in the order of the HTTP client's calls.
 */
final class AnswerReceiver implements Flow.Subscriber<String> {

    private static final int OK = 200;
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final PlannedRequest request;
    private final Mode mode;
    private final LongConsumer firstPart;
    private final LongConsumer laterPart;
    private final StringBuilder received = new StringBuilder();
    private final StringBuilder text = new StringBuilder();
    private long lastPartNanos;
    private int status;
    private boolean lineByLine;
    private boolean firstPartReceived;
    private boolean done;
    private boolean finishedAsExpected;
    private Outcome error;

    /**
     * Creates a receiver.
     *
     * @param request the request
     * @param mode the kind of process that the request was sent to
     * @param dueNanos when the request was due, as {@link System#nanoTime}
     * @param firstPart receives the time from the due time to the first part, in nanoseconds
     * @param laterPart receives the time between each later part and its predecessor, in nanoseconds
     */
    AnswerReceiver(PlannedRequest request, Mode mode, long dueNanos, LongConsumer firstPart, LongConsumer laterPart) {
        this.request = request;
        this.mode = mode;
        this.lastPartNanos = dueNanos;
        this.firstPart = firstPart;
        this.laterPart = laterPart;
    }

    BodySubscriber<Void> createBodySubscriber(ResponseInfo response) {
        status = response.statusCode();
        lineByLine = status == OK && !request.isBooking() && (request.streamed() || mode == Mode.ENGINE);
        return BodySubscribers.fromLineSubscriber(this, reader -> null, StandardCharsets.UTF_8, "\n");
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (!lineByLine) {
            received.append(line);
            return;
        }
        if (mode == Mode.ENGINE) {
            engineLine(line);
        } else {
            eventLine(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line);
        }
    }

    @Override
    public void onError(Throwable failure) {
        // The future of the call fails too, and its failure determines the outcome.
    }

    @Override
    public void onComplete() {
        if (!lineByLine && status == OK && !request.isBooking()) {
            recordPart();
        }
    }

    private void engineLine(String line) {
        if (line.isEmpty()) {
            return;
        }
        JsonNode json = parse(line);
        if (json.has("end")) {
            done = true;
            finishedAsExpected = json.path("end")
                            .path("adapter")
                            .asText()
                            .equals(request.adapter().adapter())
                    && json.path("end")
                            .path("version")
                            .asText()
                            .equals(request.adapter().version());
            return;
        }
        addText(json.path("text").asText());
    }

    private void eventLine(String line) {
        if (!line.startsWith(DATA)) {
            return;
        }
        String data = line.substring(DATA.length());
        if (data.equals(DONE)) {
            done = true;
            return;
        }
        JsonNode json = parse(data);
        if (json.has("error")) {
            error = errorOf(json);
            return;
        }
        JsonNode choice = json.path("choices").path(0);
        addText(
                choice.has("delta")
                        ? choice.path("delta").path("content").asText("")
                        : choice.path("text").asText(""));
        finishedAsExpected |= choice.path("finish_reason").isTextual()
                && json.path("model").asText().equals(request.adapter().toString());
    }

    private void addText(String added) {
        if (!added.isEmpty()) {
            text.append(added);
            recordPart();
        }
    }

    private void recordPart() {
        long now = System.nanoTime();
        (firstPartReceived ? laterPart : firstPart).accept(now - lastPartNanos);
        lastPartNanos = now;
        firstPartReceived = true;
    }

    /**
     * Evaluates the answer after it has been received completely.
     *
     * @return the outcome
     */
    Outcome evaluate() {
        if (error != null) {
            return error;
        }
        if (status != OK) {
            return errorOf(parse(received.toString()));
        }
        if (request.isBooking()) {
            return evaluateBooking();
        }
        return lineByLine
                ? evaluateText(text.toString(), done && finishedAsExpected)
                : evaluateUnstreamed(parse(received.toString()));
    }

    private Outcome evaluateBooking() {
        JsonNode json = parse(received.toString());
        if (!json.path("request").asText().equals(request.text())
                || !json.path("account").asText().equals(request.account().name())) {
            return Outcome.wrong("booking " + request.idempotencyKey() + " was answered with " + received);
        }
        return Outcome.served(0, received.toString());
    }

    private Outcome evaluateUnstreamed(JsonNode json) {
        JsonNode choice = json.path("choices").path(0);
        String answer = choice.has("message")
                ? choice.path("message").path("content").asText()
                : choice.path("text").asText();
        boolean expectedModel =
                json.path("model").asText().equals(request.adapter().toString());
        return evaluateText(
                answer, expectedModel && choice.path("finish_reason").isTextual());
    }

    private Outcome evaluateText(String answer, boolean complete) {
        ExpectedAnswer expected = request.expected();
        int maximumTokens = request.account().maximumTokens();
        String expectedText = expected.text(maximumTokens);
        if (!expectedText.startsWith(answer)) {
            return Outcome.wrong("request " + request.number() + " for " + request.adapter() + " got other text");
        }
        if (!complete || answer.length() != expectedText.length()) {
            return complete
                    ? Outcome.wrong("request " + request.number() + " was ended before its whole answer")
                    : Outcome.failed("answer broke off after " + answer.length() + " of " + expectedText.length());
        }
        return Outcome.served(
                ExpectedAnswer.promptTokens(request.promptAtEngine()) + expected.length(maximumTokens), "");
    }

    private Outcome errorOf(JsonNode json) {
        JsonNode body = json.path("error");
        if (!body.isObject()) {
            return Outcome.failed("status " + status + " without an error body");
        }
        return Outcome.error(
                body.path("name").asText("?"),
                body.path("ran").asText("unknown"),
                body.path("message").asText());
    }

    private static JsonNode parse(String json) {
        try {
            JsonNode node = Call.JSON.readTree(json);
            return node == null ? Call.JSON.createObjectNode() : node;
        } catch (JsonProcessingException e) {
            return Call.JSON.createObjectNode();
        }
    }
}
