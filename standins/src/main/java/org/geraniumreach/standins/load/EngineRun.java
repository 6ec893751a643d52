package org.geraniumreach.standins.load;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A stream as recorded by an engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param request the digest of adapter, version and prompt
 * @param account the client account
 * @param adapter the adapter and version that served the stream
 * @param outcome the recorded outcome
 * @param tokens the number of prompt tokens and generated tokens
 * @param queuedMillis when the engine queued the stream, in milliseconds since the epoch
 * @param batch the mean number of streams in the batch over the steps of the stream
 * @param adapters the mean number of distinct adapters in the batch over the steps of the stream
 */
record EngineRun(
        String request,
        String account,
        String adapter,
        String outcome,
        int tokens,
        long queuedMillis,
        double batch,
        double adapters) {

    static EngineRun of(JsonNode json) {
        return new EngineRun(
                json.path("request").asText(),
                json.path("account").asText(),
                json.path("adapter").asText(),
                json.path("outcome").asText(),
                json.path("promptTokens").asInt() + json.path("tokens").asInt(),
                json.path("queuedMillis").asLong(),
                json.path("meanBatch").asDouble(),
                json.path("meanAdapters").asDouble());
    }

    boolean isWhole() {
        return outcome.equals("ended");
    }
}
