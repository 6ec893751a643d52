package org.geraniumreach.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.standins.answer.ExpectedAnswer;
import org.geraniumreach.standins.http.Call;

/**
 * A stream at an engine: waiting, in the batch or finished.
 *
 * <p>Tokens are computed when they are sent, so a stream stores no text and can be sent again from any token. The
 * fields are guarded by the engine's lock, except the number of tokens and the outcome, which are read without it.
 */
final class EngineStream implements Comparable<EngineStream> {

    private final GenerationOrder order;
    private final AdapterReference served;
    private final ExpectedAnswer answer;
    private final long arrival;
    private final int promptTokens;
    private final int length;
    private final long queuedMillis = System.currentTimeMillis();
    private int cachedPromptTokens;
    private long startMillis;
    private long batchSum;
    private long adapterSum;
    private volatile long endMillis;
    private volatile int generated;
    private volatile Outcome outcome = Outcome.RUNNING;

    /** The state of a stream. */
    enum Outcome {
        RUNNING,
        ENDED,
        CANCELLED,
        UNLOADED,
        RESTARTED
    }

    EngineStream(GenerationOrder order, AdapterReference served, long arrival) {
        this.order = order;
        this.served = served;
        this.arrival = arrival;
        this.answer = ExpectedAnswer.of(served, order.prompt());
        this.promptTokens = ExpectedAnswer.promptTokens(order.prompt());
        this.length = answer.length(order.maximumTokens());
    }

    GenerationOrder order() {
        return order;
    }

    int promptTokens() {
        return promptTokens;
    }

    int generated() {
        return generated;
    }

    Outcome outcome() {
        return outcome;
    }

    boolean isRunning() {
        return outcome == Outcome.RUNNING;
    }

    long endMillis() {
        return endMillis;
    }

    void join(int cachedTokens) {
        cachedPromptTokens = cachedTokens;
        startMillis = System.currentTimeMillis();
    }

    /**
     * Generates one token.
     *
     * @param batch the number of streams in the batch
     * @param adapters the number of distinct adapters in the batch
     * @return true if this was the last token
     */
    boolean step(int batch, int adapters) {
        batchSum += batch;
        adapterSum += adapters;
        // Not atomic, but the engine's lock allows only one writer.
        int newGenerated = generated + 1;
        generated = newGenerated;
        return newGenerated >= length;
    }

    void end(Outcome newOutcome) {
        if (isRunning()) {
            endMillis = System.currentTimeMillis();
            outcome = newOutcome;
        }
    }

    void appendLine(StringBuilder lines, int sequence) {
        lines.append("{\"sequence\":")
                .append(sequence)
                .append(",\"text\":\"")
                .append(answer.token(sequence))
                .append("\",\"tokens\":1}\n");
    }

    byte[] firstLine() {
        ObjectNode json = Call.JSON.createObjectNode();
        json.putObject("start").put("adapter", served.adapter()).put("version", served.version());
        return (json + "\n").getBytes(StandardCharsets.UTF_8);
    }

    byte[] lastLine() {
        ObjectNode json = Call.JSON.createObjectNode();
        if (outcome == Outcome.ENDED) {
            json.putObject("end")
                    .put("chunks", generated)
                    .put("adapter", served.adapter())
                    .put("version", served.version())
                    .put("promptTokens", promptTokens)
                    .put("generatedTokens", generated)
                    .put("finishReason", generated < order.maximumTokens() ? "stop" : "length")
                    .put("prefixHit", cachedPromptTokens > 0);
        } else {
            json.put("failed", outcome.name());
        }
        return (json + "\n").getBytes(StandardCharsets.UTF_8);
    }

    StreamRecord toRecord(long number) {
        double steps = Math.max(1, generated);
        return new StreamRecord(
                number,
                order.attempt().value(),
                ExpectedAnswer.of(order.adapter(), order.prompt()).digest(),
                order.account().value(),
                served.toString(),
                order.fence(),
                promptTokens,
                cachedPromptTokens,
                generated,
                queuedMillis,
                startMillis,
                endMillis,
                outcome.name().toLowerCase(Locale.ROOT),
                batchSum / steps,
                adapterSum / steps);
    }

    @Override
    public int compareTo(EngineStream other) {
        int byPriority = Integer.compare(other.order.priority(), order.priority());
        return byPriority != 0 ? byPriority : Long.compare(arrival, other.arrival);
    }
}
