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
final class Reception implements Flow.Subscriber<String> {

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
    private boolean lines;
    private boolean begun;
    private boolean done;
    private boolean finished;
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
    Reception(PlannedRequest request, Mode mode, long dueNanos, LongConsumer firstPart, LongConsumer laterPart) {
        this.request = request;
        this.mode = mode;
        this.lastPartNanos = dueNanos;
        this.firstPart = firstPart;
        this.laterPart = laterPart;
    }

    BodySubscriber<Void> body(ResponseInfo response) {
        status = response.statusCode();
        lines = status == OK && !request.isBooking() && (request.streamed() || mode == Mode.ENGINE);
        return BodySubscribers.fromLineSubscriber(this, reader -> null, StandardCharsets.UTF_8, "\n");
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (!lines) {
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
        if (!lines && status == OK && !request.isBooking()) {
            part();
        }
    }

    private void engineLine(String line) {
        if (line.isEmpty()) {
            return;
        }
        JsonNode json = parse(line);
        if (json.has("end")) {
            done = true;
            finished = json.path("end")
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
        finished |= choice.path("finish_reason").isTextual()
                && json.path("model").asText().equals(request.adapter().toString());
    }

    private void addText(String added) {
        if (!added.isEmpty()) {
            text.append(added);
            part();
        }
    }

    private void part() {
        long now = System.nanoTime();
        (begun ? laterPart : firstPart).accept(now - lastPartNanos);
        lastPartNanos = now;
        begun = true;
    }

    /**
     * Judges the answer once all of it has come.
     *
     * @return the outcome
     */
    Outcome judge() {
        if (error != null) {
            return error;
        }
        if (status != OK) {
            return errorOf(parse(received.toString()));
        }
        if (request.isBooking()) {
            return judgeBooking();
        }
        return lines ? judgeText(text.toString(), done && finished) : judgeWhole(parse(received.toString()));
    }

    private Outcome judgeBooking() {
        JsonNode json = parse(received.toString());
        if (!json.path("request").asText().equals(request.text())
                || !json.path("account").asText().equals(request.account().name())) {
            return Outcome.wrong("booking " + request.idempotencyKey() + " was answered with " + received);
        }
        return Outcome.served(0, received.toString());
    }

    private Outcome judgeWhole(JsonNode json) {
        JsonNode choice = json.path("choices").path(0);
        String whole = choice.has("message")
                ? choice.path("message").path("content").asText()
                : choice.path("text").asText();
        boolean named = json.path("model").asText().equals(request.adapter().toString());
        return judgeText(whole, named && choice.path("finish_reason").isTextual());
    }

    private Outcome judgeText(String answer, boolean whole) {
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
