package org.geraniumreach.daemon.entry;

import java.util.Objects;

import org.geraniumreach.daemon.metrics.RequestClass;

/**
 * A generation request as read from the caller's JSON.
 *
 * <p>Invariant: the prompt is not empty and the token limit is at least 1. Immutable and safe for use by several
 * threads.
 *
 * @param kind completion or chat
 * @param model the model's name as the caller wrote it
 * @param prompt the prompt; for a chat, its concatenated messages
 * @param prefixLength the length in characters of the part that earlier requests of the conversation have also sent
 * @param maximumTokens the most tokens to generate
 * @param streamed whether the answer comes as server-sent events
 * @param usageInStream whether a streamed answer ends with the token usage
 */
record GenerationRequest(
        RequestClass kind,
        String model,
        String prompt,
        int prefixLength,
        int maximumTokens,
        boolean streamed,
        boolean usageInStream) {

    GenerationRequest {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(prompt, "prompt");
    }
}
