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
 * Receives one answer, times its parts and judges it.
 *
 * <p>Invariant: an answer counts as served only if it is whole and equal to what the adapter's version must give. Used by
 * one thread at a time, in the order of the HTTP client's calls.
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
     * Makes a reception.
     *
     * @param request the request
     * @param mode whom it was sent to
     * @param dueNanos when it was due, by the system's clock
     * @param firstPart told how long the first part took, in nanoseconds
     * @param laterPart told how long after another each later part came
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
        // The call's own future fails too, and its failure is what is judged.
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
     * Judges the answer once all of it has come.
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
        String whole = choice.has("message")
                ? choice.path("message").path("content").asText()
                : choice.path("text").asText();
        boolean named = json.path("model").asText().equals(request.adapter().toString());
        return evaluateText(whole, named && choice.path("finish_reason").isTextual());
    }

    private Outcome evaluateText(String answer, boolean whole) {
        ExpectedAnswer expected = request.expected();
        int most = request.account().maximumTokens();
        String due = expected.text(most);
        if (!due.startsWith(answer)) {
            return Outcome.wrong("request " + request.number() + " for " + request.adapter() + " got other text");
        }
        if (!whole || answer.length() != due.length()) {
            return whole
                    ? Outcome.wrong("request " + request.number() + " was ended before its whole answer")
                    : Outcome.failed("answer broke off after " + answer.length() + " of " + due.length());
        }
        return Outcome.served(ExpectedAnswer.promptTokens(request.promptAtEngine()) + expected.length(most), "");
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
