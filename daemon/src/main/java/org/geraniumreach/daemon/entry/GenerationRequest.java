package org.geraniumreach.daemon.entry;

import java.util.Objects;

import org.geraniumreach.daemon.metrics.RequestClass;

/**
 * What a caller asks a model to generate.
 *
 * <p>Invariant: the prompt is not empty and the most tokens are at least 1. Immutable and safe for use by several threads.
 *
 * @param kind completion or chat
 * @param model the model's name as the caller wrote it
 * @param prompt the prompt; of a chat, its messages one after another
 * @param prefixLength how many of the prompt's characters the conversation's earlier requests have sent too
 * @param maximumTokens the most tokens to generate
 * @param streamed whether the answer comes as server-sent events
 * @param usageInStream whether a streamed answer ends with the numbers of tokens
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
