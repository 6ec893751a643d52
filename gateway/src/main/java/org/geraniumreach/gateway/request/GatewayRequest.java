package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.Header;

/**
 * A completely received request of a caller.
 *
 * <p>Immutable and safe for use by several threads, provided that the body is not modified.
 *
 * @param id the id that the caller assigned to this attempt
 * @param method the HTTP method
 * @param uri the path and query exactly as received
 * @param host the requested host, in lower case without a port
 * @param path the path without the query
 * @param key the caller's key, empty if none was sent
 * @param headers the headers that are forwarded unchanged
 * @param body the body
 * @param callerTimeout how long the caller waits for the answer
 * @param generation the generation parameters, empty for a plain request
 * @param lastEvent the number of the last event received by a caller that resumes a stream, empty if it does not
 * @param firstAttempt the id of the caller's attempt that brought the first event of the resumed stream, empty if it names none
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
        OptionalLong lastEvent,
        Optional<String> firstAttempt) {

    public GatewayRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(callerTimeout, "callerTimeout");
        Objects.requireNonNull(firstAttempt, "firstAttempt");
        headers = List.copyOf(headers);
    }

    /**
     * The parameters of a generation by a model.
     *
     * @param model the base model
     * @param adapter the adapter, empty for the base model alone
     * @param promptTokens the tokens of the prompt
     * @param maximumTokens the maximum number of tokens to generate
     * @param lengthHint the caller's estimate of the tokens to generate, which may be far off, empty if it gave none
     * @param promptParts the parts of the prompt in order; the last one is specific to the request or its session
     */
    public record Generation(
            String model,
            Optional<AdapterName> adapter,
            long promptTokens,
            long maximumTokens,
            OptionalLong lengthHint,
            List<PromptPart> promptParts) {

        public Generation {
            Objects.requireNonNull(model, "model");
            Objects.requireNonNull(lengthHint, "lengthHint");
            promptParts = List.copyOf(promptParts);
        }

        /**
         * Creates an instance without a length hint.
         *
         * @param model the base model
         * @param adapter the adapter, empty for the base model alone
         * @param promptTokens the tokens of the prompt
         * @param maximumTokens the maximum number of tokens to generate
         * @param promptParts the parts of the prompt in order
         */
        public Generation(
                String model,
                Optional<AdapterName> adapter,
                long promptTokens,
                long maximumTokens,
                List<PromptPart> promptParts) {
            this(model, adapter, promptTokens, maximumTokens, OptionalLong.empty(), promptParts);
        }

        /**
         * Gets the tokens that are counted for the client account.
         *
         * @return the sum of prompt tokens and maximum generated tokens
         */
        public long quotaTokens() {
            return promptTokens + maximumTokens;
        }
    }

    /**
     * A part of a prompt.
     *
     * @param id the id of the part
     * @param tokens the number of tokens
     */
    public record PromptPart(String id, long tokens) {}

    /**
     * Gets the key shared by requests that should go to the same target.
     *
     * @return the id of the last prompt part, or the id of this request if there are none, not null
     */
    public String affinityKey() {
        return generation()
                .map(Generation::promptParts)
                .filter(parts -> !parts.isEmpty())
                .map(parts -> parts.get(parts.size() - 1).id())
                .orElse(id);
    }
}
