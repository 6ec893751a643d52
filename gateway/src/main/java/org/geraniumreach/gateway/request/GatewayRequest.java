package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.Header;

/**
 * One attempt of a caller, read whole.
 *
 * <p>Immutable and safe for use by several threads, as long as nobody changes the body.
 *
 * @param id the attempt's id, which the caller gave
 * @param method the method
 * @param uri path and query, exactly as they came
 * @param host the host named, in lower case without a port
 * @param path the path without its query
 * @param key the key that came along
 * @param headers the headers that are passed on as they came
 * @param body the body
 * @param callerTimeout how long the caller will wait
 * @param generation what a model is to do, empty for a plain request
 * @param lastEvent the number of the last event that the caller has of a stream that it resumes
 */
public record GatewayRequest(
        String id,
        String method,
        String uri,
        String host,
        String path,
        Optional<String> key,
        List<Header> headers,
        byte[] body,
        Duration callerTimeout,
        Optional<Generation> generation,
        OptionalLong lastEvent) {

    public GatewayRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(callerTimeout, "callerTimeout");
        headers = List.copyOf(headers);
    }

    /**
     * What a model is to do.
     *
     * @param model the base model
     * @param adapter the adapter, empty for the base model alone
     * @param promptTokens the tokens of the prompt
     * @param maximumTokens the most tokens to be generated
     * @param promptParts the ids of the prompt's parts in their order; the last is the request's or its session's own
     */
    public record Generation(
            String model,
            Optional<AdapterName> adapter,
            long promptTokens,
            long maximumTokens,
            List<PromptPart> promptParts) {

        public Generation {
            Objects.requireNonNull(model, "model");
            promptParts = List.copyOf(promptParts);
        }

        /**
         * Gets the tokens that count for a client account.
         *
         * @return prompt and greatest output together
         */
        public long quotaTokens() {
            return promptTokens + maximumTokens;
        }
    }

    /**
     * A part of a prompt.
     *
     * @param id its id
     * @param tokens its length
     */
    public record PromptPart(String id, long tokens) {}

    /**
     * Gets what requests have in common that are better off at one target.
     *
     * @return the id of the prompt's own part, or this request's own id
     */
    public String affinityKey() {
        return generation()
                .map(Generation::promptParts)
                .filter(parts -> !parts.isEmpty())
                .map(parts -> parts.get(parts.size() - 1).id())
                .orElse(id);
    }
}
