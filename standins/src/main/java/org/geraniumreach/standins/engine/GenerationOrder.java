package org.geraniumreach.standins.engine;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/**
 * What a companion asks an engine to generate.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param attempt the stream's name
 * @param account for whom
 * @param adapter on what
 * @param prompt the prompt
 * @param maximumTokens the most tokens to generate
 * @param priority 0 to 9, 9 first
 * @param fence the companion's fence
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
