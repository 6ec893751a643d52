package org.geraniumreach.standins.engine;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/**
 * An order of a companion to generate an answer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param attempt the attempt that identifies the stream
 * @param account the client account
 * @param adapter the adapter and version to use
 * @param prompt the prompt
 * @param maximumTokens the maximum number of tokens to generate, at least 1
 * @param priority the priority from 0 to 9, 9 is the highest
 * @param fence the companion's fencing token
 */
record GenerationOrder(
        AttemptId attempt,
        AccountId account,
        AdapterReference adapter,
        String prompt,
        int maximumTokens,
        int priority,
        long fence) {

    GenerationOrder {
        Objects.requireNonNull(prompt, "prompt");
        if (maximumTokens < 1) {
            throw new IllegalArgumentException("maximumTokens below 1: " + maximumTokens);
        }
    }

    static GenerationOrder of(JsonNode json) {
        return new GenerationOrder(
                AttemptId.of(json.path("attempt").asText()),
                AccountId.of(json.path("account").asText()),
                adapter(json),
                json.path("prompt").asText(),
                json.path("maximumTokens").asInt(),
                json.path("priority").asInt(),
                json.path("fence").asLong());
    }

    static AdapterReference adapter(JsonNode json) {
        return AdapterReference.of(
                json.path("adapter").asText(), json.path("version").asText());
    }
}
