package org.geraniumreach.standins.load;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One stream by an engine's own record.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param request the digest of adapter, version and prompt
 * @param account the client account that it ran for
 * @param adapter the adapter and version that ran
 * @param outcome how it ended
 * @param tokens the tokens of the prompt and those generated
 * @param queuedMillis when the engine took it, since the epoch
 * @param batch the mean number of streams in its steps
 * @param adapters the mean number of distinct adapters in its steps
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
